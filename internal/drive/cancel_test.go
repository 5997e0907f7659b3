package drive

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

// TestNoStartAfterCancelIsAcknowledged guards against tasks that start after the cancellation of their job was
// acknowledged: it is asked for while the log stores nothing for the owner, and what knows of it is lost.
func TestNoStartAfterCancelIsAcknowledged(t *testing.T) {
	const slow = `{"spec":"x","steps":[{"count":40,"cpu":1000,"memMb":100,"estimateMs":500}]}`
	tests := []struct {
		name  string
		begin func(o *outage)
		lose  func(o *outage)
		acked bool // before the loss
	}{
		{"all entries and the VMs", func(o *outage) { o.logDown(true) }, func(o *outage) { o.killAll(); o.crashVMs(); o.startAll() }, false},
		{"the owner", func(o *outage) { o.logDown(true) }, func(o *outage) { o.kill(o.owner); o.run(o.owner, o.nodes[o.owner].settings) }, false},
		{"an owner that the log alone turns away, and the VMs", func(o *outage) { o.emulator.CutOff(o.nodes[o.owner].settings.Entry) }, func(o *outage) {
			o.kill(o.owner)
			o.crashVMs()
			o.emulator.CutOff()
			o.run(o.owner, o.nodes[o.owner].settings)
		}, true},
		{"nothing, the log is back", func(o *outage) { o.emulator.Store.SetFaults(func(s *emul.Store) { s.Silent = true }) }, func(o *outage) {
			o.emulator.Store.SetFaults(func(s *emul.Store) { s.Silent = false })
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, 3, map[string]int{"alpha": 2})
			id := jobIDs(1)[0]
			c.submit(0, id, slow)
			o := &outage{cluster: c, owner: c.owner()}
			c.await("tasks run", func() bool { return len(c.emulator.Ledger.Runs()) > 0 })
			tt.begin(o)
			status, _ := c.call((o.owner+1)%3, http.MethodDelete, "/q/"+id, "")
			assert.Equal(t, status == http.StatusOK, tt.acked, "status %d", status)
			ackedAt := time.Now()
			tt.lose(o)
			assert.NilError(t, c.emulator.Repair())
			o.logDown(false)
			if !tt.acked {
				c.await("the cancellation is acknowledged", func() bool {
					status, _ := c.call((o.owner+1)%3, http.MethodDelete, "/q/"+id, "")
					ackedAt = time.Now()
					return status == http.StatusOK
				})
			}
			c.await("the job is shown as cancelled", func() bool { return c.state((o.owner+1)%3, id) == "cancelled" })
			time.Sleep(time.Second)
			const orders = 300 * time.Millisecond // for orders on their way
			for _, r := range c.emulator.Ledger.Runs() {
				assert.Assert(t, r.Start.Before(ackedAt.Add(orders)), "run %d of %s starts %s after the cancellation was acknowledged", r.Run, r.Task, r.Start.Sub(ackedAt))
			}
			assert.Equal(t, c.emulator.Ledger.FirstViolation(), "")
		})
	}
}
