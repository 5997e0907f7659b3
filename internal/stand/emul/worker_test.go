package emul

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAcknowledgementAfterLeaseExpiryDoesNotCount guards against false violations. One status
// poll acknowledges the ends of two runs; the VM's lease has expired after the first end, but
// not after the second. After an expired lease the task of the first run may run again. If the
// emulator counted the first end as acknowledged, it would report that next run as a violation
// (soak seed 1112).
func TestAcknowledgementAfterLeaseExpiryDoesNotCount(t *testing.T) {
	l := &Ledger{}
	w, err := NewWorker("i-1", "m", "p", l, func(string) Task { return Task{Duration: time.Millisecond} })
	assert.NilError(t, err)
	defer w.Kill("gone")
	call := func(path, body string) {
		req, err := http.NewRequest(http.MethodPost, "http://"+w.address+path, strings.NewReader(body))
		assert.NilError(t, err)
		req.Header.Set("X-Expect-Instance", "i-1")
		res, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		res.Body.Close()
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
	runToEnd := func(task string, leaseMS int64) {
		call("/v1/run-start", fmt.Sprintf(`{"task":%q,"run":1,"untilMs":%d}`, task, w.clockMS()+leaseMS))
		for l.Runs()[len(l.Runs())-1].End.IsZero() {
			time.Sleep(time.Millisecond)
		}
	}
	runToEnd("0000000000000001.0.0.0", 300)
	expired := func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.leaseExpiredAt.After(l.Runs()[0].End)
	}
	for !expired() {
		time.Sleep(time.Millisecond)
	}
	runToEnd("0000000000000002.0.0.0", 60_000)
	call("/v1/hold", `{"ackCursor":2}`)
	assert.Equal(t, l.Runs()[0].Acknowledged, false)
	assert.Equal(t, l.Runs()[1].Acknowledged, true)
}
