package drive

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

// keptOpen forwards connections to an address. They stay open when the other end closes them.
func keptOpen(t *testing.T, to string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { client.Close() })
			server, err := net.Dial("tcp", to)
			if err != nil {
				continue
			}
			go func() { _, _ = io.Copy(server, client) }() // until the client closes the connection
			go func() { _, _ = io.Copy(client, server) }() // until the server does
		}
	}()
	return ln.Addr().String()
}

// TestTaskStartsAgainAfterVMChangesAddress guards against a long-running task whose start order is under way as its VM
// restarts under its ID at another address: the reply to the order is never handled, and the task waits for it without end.
func TestTaskStartsAgainAfterVMChangesAddress(t *testing.T) {
	var first sync.Once
	emulator, err := emul.Start(emul.Options{
		Pools: map[string]int{"alpha": 1}, MoveTime: 200 * time.Millisecond, RecordLag: 10 * time.Millisecond,
		Lookup: func(string) emul.Task { return emul.Task{CPU: 1000, LongRunning: true} },
		Address: func(_, address string) (string, error) {
			first.Do(func() { address = keptOpen(t, address) })
			return address, nil
		},
	})
	assert.NilError(t, err)
	c := newClusterOn(t, emulator, 1, nil)
	vm := emulator.VMs()[0]
	vm.SetFaults(func(w *emul.Worker) { w.DropOrders = true })
	c.submit(0, jobIDs(1)[0], `{"spec":"x","steps":[{"count":1,"cpu":1000,"memMb":100,"longRunning":true}]}`)
	part := c.nodes[0].lookupPartition(c.nodes[0].partitionOf("alpha"))
	c.await("a start order is under way", func() bool {
		started, err := runOnPartition(t.Context(), part, func(part *ownedPartition, _ time.Time) *int {
			n := part.scheduler.Stats().Started
			return &n
		})
		return err == nil && *started > 0
	})
	emulator.CrashKeepingID(vm)
	assert.NilError(t, emulator.Repair())
	c.await("the task runs", func() bool {
		runs := emulator.Ledger.Runs()
		return len(runs) > 0 && runs[len(runs)-1].End.IsZero()
	})
}
