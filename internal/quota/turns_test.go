package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// testTask is a task, or a gang, that an owner in TestLargeTasksTakeTurns starts in its turn.
type testTask struct {
	size    int           // thousandths of the limit
	length  time.Duration // 0 if it is long-running
	started time.Time
	latest  time.Duration // after the begin, by which it has to start; 0 if it need not
}

// testOwner is an owner that starts its tasks in their order.
type testOwner struct {
	holder           Holder
	waiting, running []*testTask
}

func (o *testOwner) load() Load {
	l := Load{Account: "a"}
	for _, x := range o.running {
		l.Used.CPU += x.size
		if x.length == 0 {
			l.Lasting.CPU += x.size
		}
	}
	for _, x := range o.waiting {
		l.Demand.CPU += x.size
		l.Largest.CPU = max(l.Largest.CPU, x.size)
	}
	return l
}

// step ends the runs that are over and starts what the quota allows.
func (o *testOwner) step(now time.Time, account *site.Account) {
	var left []*testTask
	for _, x := range o.running {
		if x.length == 0 || now.Sub(x.started) < x.length {
			left = append(left, x)
		}
	}
	o.running = left
	for len(o.waiting) > 0 {
		x := o.waiting[0]
		if !Within(site.Resources{CPU: o.load().Used.CPU + x.size}, account.Limit, o.holder.Fraction(now, "a")) {
			return
		}
		x.started = now
		o.running, o.waiting = append(o.running, x), o.waiting[1:]
	}
}

// tasks returns n equal tasks that have to start within a time.
func tasks(n, size int, length, latest time.Duration) []*testTask {
	var list []*testTask
	for range n {
		list = append(list, &testTask{size: size, length: length, latest: latest})
	}
	return list
}

// TestLargeTasksTakeTurns guards against tasks that never start, since they fit within the limit of their account, but not
// within the share of any partition (review/8), and against others that they keep from starting.
func TestLargeTasksTakeTurns(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name    string
		waiting [][]*testTask // by partition
	}{
		{"two partitions, over half of the limit each", [][]*testTask{tasks(4, 600, s, 14*s), tasks(4, 600, s, 14*s)}},
		{"three partitions", [][]*testTask{tasks(2, 400, s, 14*s), tasks(2, 600, s, 14*s), tasks(2, 900, s, 14*s)}},
		{"nearly the limit, alone", [][]*testTask{tasks(2, 990, s, 4*s), nil}},
		{"the limit, alone", [][]*testTask{tasks(2, 1000, s, 4*s), nil, nil}},
		{"beside small tasks", [][]*testTask{tasks(3, 700, s, 14*s), tasks(100, 100, s, 30*s)}},
		{"beside long tasks", [][]*testTask{tasks(1, 700, s, 22*s), tasks(20, 200, 5*s, 60*s)}},
		{"beside long-running tasks that leave room", [][]*testTask{tasks(2, 600, s, 10*s), append(tasks(1, 350, 0, s), tasks(5, 50, s, 10*s)...)}},
		{"beside long-running tasks that leave no room", [][]*testTask{tasks(1, 600, s, 0), append(tasks(1, 450, 0, 3*s), tasks(20, 100, s, 14*s)...)}},
		{"long-running", [][]*testTask{tasks(1, 600, 0, 4*s), tasks(1, 600, 0, 0)}},
		{"small and large in one partition", [][]*testTask{append(tasks(8, 100, s, 8*s), tasks(1, 600, s, 10*s)...), tasks(4, 600, s, 20*s)}},
		{"equal shares are enough", [][]*testTask{tasks(4, 500, s, 6*s), tasks(4, 500, s, 6*s)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, account := NewCoordinator(1), oneAccount()
			var owners []*testOwner
			var partitions []int
			for n := range tt.waiting {
				owners, partitions = append(owners, &testOwner{}), append(partitions, n)
			}
			for now := testStart; now.Before(testStart.Add(60 * s)); now = now.Add(150 * time.Millisecond) {
				if now.Equal(testStart.Add(1500 * time.Millisecond)) {
					for n, o := range owners {
						o.waiting = tt.waiting[n]
					}
				}
				requests, _ := c.Round(now, partitions, account)
				used := 0
				for n, o := range owners {
					r := o.holder.Handle(now, 1, requests[n])
					if l := o.load(); l.Used.CPU+l.Demand.CPU > 0 {
						r.Loads = []Load{l}
					}
					c.HandleReply(now, n, r)
					o.step(now, &account[0])
					used += o.load().Used.CPU
				}
				assert.Assert(t, used <= limit, "%d of %d run", used, limit)
			}
			for n, list := range tt.waiting {
				for i, x := range list {
					began := x.started.Sub(testStart.Add(1500 * time.Millisecond))
					assert.Assert(t, x.latest == 0 || (!x.started.IsZero() && began <= x.latest), "task %d of partition %d starts after %s", i, n, began)
				}
			}
		})
	}
}
