package drive

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
				c := &site.Config{}
				for name, pool := range x.pools {
					c.Routes = append(c.Routes, site.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Pool: pool})
				}
				h.configure(start.Add(time.Duration(x.s)*time.Second), c)
			}
			for p, queues := range x.learn {
				h.learn(p, queues)
			}
		}
		got := h.elsewhere(start.Add(time.Duration(tt.s)*time.Second), "q", 0)
		assert.Equal(t, fmt.Sprint(got), tt.want, tt.name)
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
