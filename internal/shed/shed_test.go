package shed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.UnixMilli(1_700_000_000_000)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestWait(t *testing.T) {
	tests := []struct {
		name   string
		supply Supply
		work   float64
		want   time.Duration
	}{
		{"idle cores hold the work", Supply{Cores: 100, Free: 50}, 40, 0},
		{"idle cores hold a part", Supply{Cores: 100, Free: 50}, 150, time.Second},
		{"a full pool", Supply{Cores: 100}, 200, 2 * time.Second},
		{"arrivals are idle when they come", Supply{Cores: 10, Arrivals: []Arrival{{After: time.Second, Cores: 100}}}, 100, time.Second},
		{"arrivals after the work is begun", Supply{Cores: 100, Arrivals: []Arrival{{After: 2 * time.Second, Cores: 100}}}, 100, time.Second},
		{"arrivals speed up the rest", Supply{Cores: 100, Arrivals: []Arrival{{After: time.Second, Cores: 100}}}, 400, 2 * time.Second},
		{"no capacity", Supply{}, 1, longestWait},
	}
	for _, tt := range tests {
		assert.Equal(t, tt.supply.Wait(tt.work, time.Second), tt.want, tt.name)
	}
}

// TestBegun checks that Begun is the inverse of Wait.
func TestBegun(t *testing.T) {
	s := &Supply{Cores: 100, Free: 20, Arrivals: []Arrival{{After: time.Second, Cores: 50}}}
	assert.Equal(t, s.Wait(s.Begun(3*time.Second, time.Second), time.Second), 3*time.Second)
	assert.Equal(t, s.Scaled(0.5).Begun(3*time.Second, time.Second), s.Begun(3*time.Second, time.Second)/2)
}

func TestClassify(t *testing.T) {
	tests := []struct {
		name   string
		timing Timing
		nowMS  int
		want   Class
	}{
		{"can still meet its objective", Timing{Objective: 2 * time.Second, Chain: time.Second}, 1000, InTime},
		{"can not", Timing{Objective: 2 * time.Second, Chain: time.Second}, 1001, Late},
		{"has begun and may be shorter than declared", Timing{Objective: 2 * time.Second, Chain: time.Second, Begun: true}, 1500, InTime},
		{"has begun and is late in any case", Timing{Objective: 2 * time.Second, Chain: time.Second, Begun: true}, 1501, Late},
		{"of no use any more", Timing{Objective: 2 * time.Second, Chain: time.Second}, 5001, Expired},
	}
	for _, tt := range tests {
		tt.timing.Submitted = start
		assert.Equal(t, tt.timing.Classify(at(tt.nowMS)), tt.want, tt.name)
	}
}

// TestDecide covers a pool of 100 cores and jobs that may wait for a second.
func TestDecide(t *testing.T) {
	full := Supply{Cores: 100}
	tests := []struct {
		name        string
		submittedMS int
		load        Load
		fits        bool
		accepted    bool
	}{
		{"a wait that the job has time for", 0, Load{InTime: 100, Total: 100}, false, true},
		{"a longer wait", 0, Load{InTime: 120, Total: 120}, false, false},
		{"late jobs do not go before it", 0, Load{InTime: 50, Total: 500}, false, true},
		{"waiting work that does not fit into idle VMs, as later steps", 0, Load{InTime: 500, Total: 500}, true, true},
		{"a returning job has waited already", -500, Load{InTime: 80, Total: 80}, false, false},
		{"a returning job that is late anyway, with room", -3000, Load{InTime: 80, Total: 90}, false, true},
		{"a returning job that is late anyway, without", -3000, Load{InTime: 80, Total: 200}, false, false},
		{"a returning job that is late anyway, into idle VMs", -3000, Load{InTime: 80, Total: 200}, true, true},
	}
	for _, tt := range tests {
		g := &Gate{}
		r := &Request{Timing: Timing{Submitted: at(tt.submittedMS), Objective: 2 * time.Second, Chain: time.Second}, Work: 20, TaskTime: time.Second, Fits: tt.fits}
		d := g.Decide(start, r, tt.load, &full, 1)
		assert.Equal(t, d.Accepted, tt.accepted, tt.name)
		assert.Assert(t, d.Accepted == (d.RetryAfter == 0), tt.name)
	}
}

// TestRefusedJobsReturnAsRoomComes guards against refused callers that all return at the same time,
// to be refused again. The pool of 100 cores must be able to do the work that returns in each second.
func TestRefusedJobsReturnAsRoomComes(t *testing.T) {
	g := &Gate{}
	supply, load := Supply{Cores: 100}, Load{InTime: 200, Total: 200}
	workBySecond := map[int]float64{}
	for range 50 {
		r := &Request{Timing: Timing{Submitted: start, Objective: 2 * time.Second, Chain: time.Second}, Work: 20, TaskTime: time.Second}
		d := g.Decide(start, r, load, &supply, 1)
		assert.Assert(t, !d.Accepted && d.RetryAfter >= time.Second)
		workBySecond[int(d.RetryAfter.Seconds())] += r.Work
	}
	assert.Assert(t, len(workBySecond) >= 9, "all return within %d seconds", len(workBySecond))
	for second, work := range workBySecond {
		assert.Assert(t, work <= 120, "%v core-seconds return after %d s", work, second)
	}
}
