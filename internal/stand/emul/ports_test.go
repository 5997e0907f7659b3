package emul

import (
	"fmt"
	"net"
	"os/exec"
	"sync"
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

// A process that is being started holds the sockets of its parent until it executes its program.
func TestFreePortsBesideStartingProcesses(t *testing.T) {
	_ = exec.Command("true").Run() // package os tries pidfds with a process of its own at the first start, without the lock
	stop := make(chan struct{})
	var active sync.WaitGroup
	for range 4 {
		active.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command("true").Run()
				}
			}
		})
	}
	defer active.Wait()
	defer close(stop)
	var own portBlocks
	const rounds, n = 300, 4
	for range rounds {
		list, err := own.take(n)
		assert.NilError(t, err)
		for _, p := range list {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
			assert.NilError(t, err)
			assert.NilError(t, ln.Close())
		}
	}
	for _, ln := range own.guard {
		ln.Close()
	}
}
