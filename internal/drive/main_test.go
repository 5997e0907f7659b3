package drive

import (
	"io"
	"os"
	"testing"
)

// testLog takes the entries' log lines where the variable DRIVE_TEST_LOG names a file.
var testLog io.Writer

func TestMain(m *testing.M) {
	if name := os.Getenv("DRIVE_TEST_LOG"); name != "" {
		f, err := os.Create(name)
		if err != nil {
			panic(err)
		}
		testLog = f
	}
	os.Exit(m.Run())
}
