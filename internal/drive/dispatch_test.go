package drive

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

// forwarder is an address under which a VM is reached in all its incarnations.
type forwarder struct {
	addr   string
	target atomic.Pointer[string] // address of the present incarnation
}

func newForwarder(t *testing.T) *forwarder {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { ln.Close() })
	f := &forwarder{addr: ln.Addr().String()}
	go func() {
		for {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			go f.forward(client)
		}
	}()
	return f
}

func (f *forwarder) forward(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", *f.target.Load())
	if err != nil {
		return
	}
	go func() {
		defer server.Close()
		_, _ = io.Copy(server, client) // until either end closes
	}()
	_, _ = io.Copy(client, server)
}

// silence has a VM leave all calls unanswered, without effect, or answer them again.
func silence(vm *emul.Worker, silent bool) {
	vm.SetFaults(func(w *emul.Worker) {
		w.LosePercent = 0
		if silent {
			w.LosePercent = 100
		}
	})
}

// fillerJob is the job that keeps the other VM of a silentVMCluster full.
const fillerJob = "00000000000000ff"

// silentVMCluster starts an entry and a pool of two VMs, of which one is full for some seconds, and submits a job of 60 tasks.
// They all go to the other one, which is returned and falls silent at that moment.
func silentVMCluster(t *testing.T, job string) (c *cluster, silent *emul.Worker) {
	t.Helper()
	forwarders := map[string]*forwarder{}
	emulator, err := emul.Start(emul.Options{
		Pools: map[string]int{"alpha": 2}, MoveTime: 200 * time.Millisecond, RecordLag: 20 * time.Second,
		Lookup: func(task string) emul.Task {
			if strings.HasPrefix(task, fillerJob) {
				return emul.Task{CPU: emul.VMCPU / 2, Duration: 6 * time.Second}
			}
			return emul.Task{CPU: 100, Duration: 8 * time.Second}
		},
		Address: func(vm, address string) (string, error) {
			if forwarders[vm] == nil {
				forwarders[vm] = newForwarder(t)
			}
			forwarders[vm].target.Store(&address)
			return forwarders[vm].addr, nil
		},
	})
	assert.NilError(t, err)
	c = newClusterOn(t, emulator, 1, nil)
	silent = emulator.VMs()[0]
	silence(silent, true)
	part := c.nodes[0].lookupPartition(c.nodes[0].partitionOf("alpha"))
	awaitUsable := func(usable bool) {
		c.await("use of the VM", func() bool {
			report, err := runOnPartition(t.Context(), part, func(part *ownedPartition, now time.Time) *sched.Report {
				return part.scheduler.Report(now, "alpha")
			})
			return err == nil && slices.ContainsFunc(report.VMs, func(v sched.VMReport) bool { return v.ID == silent.ID && (v.Unusable == "") == usable })
		})
	}
	awaitUsable(false)
	c.submit(0, fillerJob, fmt.Sprintf(`{"spec":"x","steps":[{"count":2,"cpu":%d,"memMb":10,"estimateMs":6000}]}`, emul.VMCPU/2))
	c.await("the other VM is full", func() bool { return len(emulator.Ledger.Runs()) == 2 })
	silence(silent, false)
	awaitUsable(true)
	silence(silent, true)
	c.submit(0, job, `{"spec":"x","steps":[{"count":60,"cpu":100,"memMb":10,"estimateMs":8000}]}`)
	c.await("the tasks are ordered", func() bool {
		started, err := runOnPartition(t.Context(), part, func(part *ownedPartition, _ time.Time) *int {
			n := part.scheduler.Stats().Started
			return &n
		})
		return err == nil && *started >= 62
	})
	return c, silent
}

// TestQueuedStartsDoNotReachNextIncarnation guards against tasks that run twice: start orders wait for a silent VM until their
// tasks have started elsewhere, and are then sent to the VM's next incarnation (review/12).
func TestQueuedStartsDoNotReachNextIncarnation(t *testing.T) {
	job := jobIDs(1)[0]
	c, silent := silentVMCluster(t, job)
	c.await("a task of the job runs elsewhere", func() bool {
		return slices.ContainsFunc(c.emulator.Ledger.Runs(), func(r emul.TaskRun) bool { return strings.HasPrefix(r.Task, job) })
	})
	c.emulator.CrashKeepingID(silent)
	assert.NilError(t, c.emulator.Repair())
	time.Sleep(3 * time.Second)
	for _, r := range c.emulator.Ledger.Runs() {
		assert.Assert(t, r.VM != silent.ID || r.Run > 1, "run %d of %s starts on %s", r.Run, r.Task, r.VM)
	}
	assert.Equal(t, c.emulator.Ledger.FirstViolation(), "")
}

// TestQueuedStartsOfCancelledJob guards against tasks that start seconds after the cancellation of their job was acknowledged:
// their start orders have waited for a VM that did not answer (review/15).
func TestQueuedStartsOfCancelledJob(t *testing.T) {
	job := jobIDs(1)[0]
	c, silent := silentVMCluster(t, job)
	status, _ := c.call(0, http.MethodDelete, "/q/"+job, "")
	assert.Equal(t, status, http.StatusOK)
	time.Sleep(2 * time.Second) // the orders are valid for 4 s
	silence(silent, false)
	time.Sleep(1500 * time.Millisecond)
	for _, r := range c.emulator.Ledger.Runs() {
		assert.Assert(t, !strings.HasPrefix(r.Task, job), "run %d of %s starts on %s", r.Run, r.Task, r.VM)
	}
}
