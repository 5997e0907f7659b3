package emul

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPollListsAllRunsOfEarlierOwners guards against a run that starts on an order of an earlier owner after its VM has
// answered a poll of a later one without it (soak seed 1120).
func TestPollListsAllRunsOfEarlierOwners(t *testing.T) {
	const vms, owners, callers, starts = 100, 50, 4, 20
	for range vms {
		w, err := NewWorker("i-1", "m", "p", &Ledger{}, func(string) Task { return Task{Duration: time.Minute} })
		assert.NilError(t, err)
		var owner atomic.Int64 // its fencing token
		fences := make([][starts]int64, callers)
		var active sync.WaitGroup
		for c := range callers {
			active.Go(func() {
				for i := range starts {
					rec, fence := httptest.NewRecorder(), owner.Load()
					w.serve(rec, nil, "/v1/run-start", &workerRequest{Task: taskOfCaller(c, i), Run: 1, Fence: fence, UntilMS: 60_000})
					fences[c][i] = fence
					if rec.Code != http.StatusOK {
						fences[c][i] = owners // not started
					}
				}
			})
		}
		var lists []string // of runs, by fencing token
		for fence := range int64(owners) {
			rec := httptest.NewRecorder()
			w.serve(rec, nil, "/v1/hold", &workerRequest{Fence: fence})
			lists = append(lists, rec.Body.String())
			owner.Store(fence)
		}
		active.Wait()
		for c := range callers {
			for i, fence := range fences[c] {
				for later := fence + 1; later < owners; later++ {
					assert.Assert(t, strings.Contains(lists[later], strconv.Quote(taskOfCaller(c, i))), "a run of owner %d started after the poll of owner %d", fence, later)
				}
			}
		}
		w.Kill(crashed)
	}
}

func taskOfCaller(caller, i int) string { return fmt.Sprintf("000000000000000%d.0.0.%d", caller, i) }

// TestNoRunStartsOnCrashedVM guards against a run that starts on an order which was checked before its VM crashed: it
// would run beside the next run of its task.
func TestNoRunStartsOnCrashedVM(t *testing.T) {
	const vms, callers, starts = 300, 4, 200
	for range vms {
		l := &Ledger{}
		w, err := NewWorker("i-1", "m", "p", l, func(string) Task { return Task{Duration: time.Minute} })
		assert.NilError(t, err)
		var active sync.WaitGroup
		for c := range callers {
			active.Go(func() {
				for i := range starts {
					w.serve(httptest.NewRecorder(), nil, "/v1/run-start", &workerRequest{Task: taskOfCaller(c, i), Run: 1, UntilMS: 60_000})
				}
			})
		}
		w.Kill(crashed)
		active.Wait()
		for _, r := range l.Runs() {
			assert.Assert(t, !r.End.IsZero(), "run of %s on a VM that has crashed", r.Task)
		}
	}
}
