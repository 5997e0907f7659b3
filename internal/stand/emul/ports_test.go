package emul

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestFreePortsOfTwoProcesses guards against a port that two processes get: one of them may take it
// while the other's program that uses it is being started again. A portBlocks stands for a process.
func TestFreePortsOfTwoProcesses(t *testing.T) {
	var processes [2]portBlocks
	seen := map[int]bool{}
	for range 40 {
		for i := range processes {
			list, err := processes[i].take(4)
			assert.NilError(t, err)
			for _, p := range list {
				assert.Assert(t, !seen[p], "port %d was given twice", p)
				seen[p] = true
			}
		}
	}
	for i := range processes {
		for _, ln := range processes[i].guard {
			ln.Close()
		}
	}
}
