package drive

import (
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestQueueHistory guards against a partition that is not asked for a job that it may hold, and against look-ups
// where no partition may hold one.
func TestQueueHistory(t *testing.T) {
	const keep = time.Minute
	start := time.UnixMilli(1_700_000_000_000)
	type step struct {
		s     int               // seconds from the start of the entry
		pools map[string]string // of queues, by name; nil for no new configuration
		learn map[int][]string
	}
	all := map[int][]string{0: nil, 1: nil, 2: nil}
	tests := []struct {
		name  string
		steps []step
		s     int
		want  string // partitions besides 0 that may hold jobs of queue q
	}{
		{"no owner has answered", []step{{0, map[string]string{"q": "a"}, nil}}, 1, "[1 2]"},
		{"one owner has answered", []step{{0, map[string]string{"q": "a"}, map[int][]string{1: nil}}}, 1, "[2]"},
		{"all owners have answered", []step{{0, map[string]string{"q": "a"}, all}}, 1, "[]"},
		{"an owner holds jobs of it", []step{{0, map[string]string{"q": "a"}, map[int][]string{0: {"q"}, 1: {"p"}, 2: {"q"}}}}, 1, "[2]"},
		{"an owner held jobs of it", []step{{0, map[string]string{"q": "a"}, map[int][]string{0: nil, 1: nil, 2: {"q"}}}}, 61, "[]"},
		{"no owner answers for long", []step{{0, map[string]string{"q": "a"}, nil}}, 61, "[]"},
		{"moved", []step{{0, map[string]string{"q": "b"}, all}, {5, map[string]string{"q": "a"}, nil}}, 10, "[1 2]"},
		{"moved long ago", []step{{0, map[string]string{"q": "b"}, all}, {5, map[string]string{"q": "a"}, nil}}, 66, "[]"},
		{"dropped and added", []step{{0, map[string]string{"q": "b"}, all}, {5, map[string]string{}, nil}, {6, map[string]string{"q": "a"}, nil}}, 10, "[1 2]"},
		{"dropped for several versions", []step{
			{0, map[string]string{"q": "b"}, all}, {5, map[string]string{}, nil}, {6, map[string]string{"p": "a"}, nil}, {50, map[string]string{"q": "a"}, nil},
		}, 60, "[1 2]"},
		{"dropped and added with its pool", []step{{0, map[string]string{"q": "a"}, all}, {5, map[string]string{}, nil}, {6, map[string]string{"q": "a"}, nil}}, 10, "[]"},
		{"moved away and back", []step{{0, map[string]string{"q": "a"}, all}, {5, map[string]string{"q": "b"}, nil}, {6, map[string]string{"q": "a"}, nil}}, 10, "[1 2]"},
		{"another queue moved", []step{{0, map[string]string{"q": "a", "p": "a"}, all}, {5, map[string]string{"q": "a", "p": "b"}, nil}}, 10, "[]"},
	}
	for _, tt := range tests {
		h := newQueueHistory(start, 3, keep)
		for _, x := range tt.steps {
			if x.pools != nil {
				c := &site.Config{Version: int64(1 + x.s)}
				for name, pool := range x.pools {
					c.Routes = append(c.Routes, site.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Pool: pool})
				}
				h.configure(start.Add(time.Duration(x.s)*time.Second), c, false)
			}
			for p, queues := range x.learn {
				h.learn(p, &queuesReply{Owner: true, Queues: queues})
			}
		}
		got := h.elsewhere(start.Add(time.Duration(tt.s)*time.Second), "q", 0)
		assert.Equal(t, fmt.Sprint(got), tt.want, tt.name)
	}
}

// TestMissedConfigurationsMayHaveMovedQueues guards against a job that two partitions accept: an entry misses the
// configurations by which a queue moved away and came back, and looks its jobs up nowhere else.
func TestMissedConfigurationsMayHaveMovedQueues(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	tests := []struct {
		name    string
		missed  bool
		learned map[int][]string // after the newer configuration, by partition
		lookUps string
	}{
		{"one follows the other", false, nil, "[]"},
		{"some were missed", true, nil, "[1 2]"},
		{"some were missed, owners have answered", true, map[int][]string{0: nil, 1: {"q"}, 2: nil}, "[1]"},
	}
	for _, tt := range tests {
		n := New(&site.Settings{Entry: "e", IP: "127.0.0.1", Ports: []int{1, 2}, Log: site.LogSettings{Partitions: 3}})
		n.queues = newQueueHistory(start, 3, time.Hour*24*365*100)
		set := func(version int64, snapshot bool) {
			c := &site.Config{Version: version, Routes: []site.Route{{Name: "q", Host: "h", Prefix: "/q/", Pool: "alpha"}}}
			n.applyOperatorChange(&site.Change{Config: c}, snapshot)
		}
		set(5, true)
		for p := range 3 {
			n.queues.learn(p, &queuesReply{Owner: true, ConfigVersion: 5})
		}
		set(5, true) // nothing new
		assert.Equal(t, fmt.Sprint(n.queues.elsewhere(start.Add(time.Second), "q", 0)), "[]", tt.name)
		set(9, tt.missed)
		for p, queues := range tt.learned {
			n.queues.learn(p, &queuesReply{Owner: true, Queues: queues, ConfigVersion: 9})
		}
		assert.Equal(t, fmt.Sprint(n.queues.elsewhere(time.Now(), "q", 0)), tt.lookUps, tt.name)
	}
}

// TestQueuesOfOwnerWithOlderConfiguration guards against a job that two partitions accept: an entry that has started after
// its queue moved asks the owner of the former partition, which has not heard of the move, for its queues, and that owner
// accepts the job later.
func TestQueuesOfOwnerWithOlderConfiguration(t *testing.T) {
	const before, moved = 5, 6
	start := time.UnixMilli(1_700_000_000_000)
	tests := []struct {
		name    string
		first   int64 // version of the entry's first configuration; 0 if it has none yet
		owner   int64 // version of the owner's
		lookUps string
	}{
		{"the owner does not know the move", moved, before, "[1]"},
		{"the entry has no configuration", 0, before, "[1]"},
		{"the owner knows it", moved, moved, "[]"},
		{"the owner knows more", before, moved, "[]"},
		{"an owner of an earlier version", moved, 0, "[]"},
	}
	for _, tt := range tests {
		h := newQueueHistory(start, 2, time.Minute)
		configure := func(version int64) {
			h.configure(start, &site.Config{Version: version, Routes: []site.Route{{Name: "q", Host: "h", Prefix: "/q/", Pool: "delta"}}}, false)
		}
		if tt.first > 0 {
			configure(tt.first)
		}
		h.learn(1, &queuesReply{Owner: true, ConfigVersion: tt.owner})
		if tt.first == 0 {
			configure(moved)
		}
		assert.Equal(t, fmt.Sprint(h.elsewhere(start.Add(time.Second), "q", 0)), tt.lookUps, tt.name)
	}
}

// TestLookedUpJobIsNotAccepted guards against a job that two partitions accept: one looks it up at the other
// before it accepts it, and a request by an older configuration reaches the other one later.
func TestLookedUpJobIsNotAccepted(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	l := lookUps{}
	l.record(now, "a")
	assert.Assert(t, l.recent(now.Add(lookUpWindow-time.Millisecond), "a"))
	assert.Assert(t, !l.recent(now.Add(lookUpWindow), "a"))
	assert.Assert(t, !l.recent(now, "b"))
	for i := range 2 * maxLookUps {
		l.record(now.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i))
	}
	assert.Assert(t, len(l) <= maxLookUps)
}

// TestLookUpsLostWithOwner guards against a job that two partitions accept: one looked it up at the other before it
// accepted it, the owner of the other was lost with that, and the next one accepts a request by an older configuration.
func TestLookUpsLostWithOwner(t *testing.T) {
	const before, moved, back = 5, 6, 7 // configurations: queue q in pool alpha, moved to another pool, and back in alpha
	claimedAt := time.UnixMilli(1_700_000_000_000)
	tests := []struct {
		name      string
		lastEpoch int64
		version   int64         // of the owner's configuration
		confirmed time.Duration // after the claim; negative if not since
		sentBy    int64         // version of the configuration by which the request was sent
		after     time.Duration // since the claim
		accepted  bool
	}{
		{"neither knows the move", 1, before, -time.Second, before, time.Second, false},
		{"the owner knows it", 1, moved, time.Millisecond, before, time.Second, false},
		{"the owner has learnt it before the takeover", 1, moved, -time.Second, before, time.Second, false},
		{"the queue is back", 1, back, time.Millisecond, before, time.Second, false},
		{"the queue is back, sent by the move", 1, back, time.Millisecond, moved, time.Second, false},
		{"both know that it is back", 1, back, time.Millisecond, back, time.Second, true},
		{"no move", 1, before, time.Millisecond, before, time.Second, true},
		{"the request knows more", 1, before, time.Millisecond, back, time.Second, true},
		{"first owner", 0, before, -time.Second, before, time.Second, true},
		{"callers no longer repeat it", 1, before, -time.Second, before, lookUpWindow, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := New(&site.Settings{IP: "127.0.0.1", Ports: []int{1, 2}, Log: site.LogSettings{Partitions: partitions}})
			pool := map[int64]string{before: "alpha", moved: "delta", back: "alpha"}[tt.version]
			assert.Assert(t, n.partitionOf("alpha") != n.partitionOf("delta"))
			n.config.Store(&site.Config{Version: tt.version, Routes: []site.Route{{Name: "q", Pool: pool}}})
			n.confirmed.record(claimedAt.Add(tt.confirmed))
			part := &ownedPartition{
				node: n, number: n.partitionOf("alpha"), claimed: claimedTable{lastEpoch: tt.lastEpoch}, claimedAt: claimedAt, waiters: map[string][]*waiter{},
				log: logrus.NewEntry(logrus.StandardLogger()), scheduler: sched.New(2, n.policy, logrus.NewEntry(logrus.StandardLogger())),
			}
			now := claimedAt.Add(tt.after)
			part.scheduler.SetVMs(now, []site.VM{{ID: "vm", Born: 1, Pool: "alpha", Address: "127.0.0.1:1", CPU: 8000, MemMB: 8000}})
			part.scheduler.HandlePoll(now, "vm", now, &site.VMStatus{Born: 1, ClockMS: 1000})
			id := jobIDs(1)[0]
			job := &jobs.Job{ID: id, Queue: "q", Pool: "alpha", Steps: []jobs.Step{{Count: 1, CPU: 1000, EstimateMS: 500}}, MaxAttempts: 1, Stretch: 2, TargetMS: 60_000, SubmittedMS: now.UnixMilli()}
			w := &waiter{id: id, job: job, reply: make(chan site.Reply, 1)}
			part.handle(now, &jobCall{Kind: site.SubmitJob, Access: site.Access{Queue: "q"}, ID: id, Job: job, ConfigVersion: tt.sentBy}, w)
			assert.Equal(t, part.scheduler.Known(id), tt.accepted)
			if !tt.accepted {
				assert.Equal(t, (<-w.reply).Outcome, site.NotOwner)
			}
		})
	}
}
