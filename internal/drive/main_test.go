package drive

import (
	"io"
	"os"
	"testing"
)

// testLog receives the entries' log lines if the environment variable DRIVE_TEST_LOG names a
// file; nil otherwise.
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
