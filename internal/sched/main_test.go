package sched

import (
	"testing"

	"github.com/greengagelane/greengagelane/internal/fuzz"
)

// TestMain fixes the length of fuzzing at 200 checks of 200 steps.
func TestMain(m *testing.M) { fuzz.Main(m, 200, 200) }
