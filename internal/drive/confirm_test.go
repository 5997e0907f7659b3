package drive

import (
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestUnconfirmedKeysAreRefused guards against a revoked key that an entry without news of the
// configuration admits on a site with revoke-strict, and against refusals on any other site.
func TestUnconfirmedKeysAreRefused(t *testing.T) {
	now := time.Now()
	keyed, public := &site.Route{Name: "q"}, &site.Route{Name: "q", Public: true}
	tests := []struct {
		name      string
		strict    bool
		route     *site.Route
		account   string
		confirmed time.Duration // before now; negative if never
		refused   bool
	}{
		{"recent", true, keyed, "a", 4 * time.Second, false},
		{"too old", true, keyed, "a", 6 * time.Second, true},
		{"never", true, keyed, "a", -1, true},
		{"not strict", false, keyed, "a", 6 * time.Second, false},
		{"public route", true, public, "", 6 * time.Second, false},
		{"site without accounts", true, keyed, "", 6 * time.Second, false},
	}
	for _, tt := range tests {
		n := &Node{settings: &site.Settings{Bounds: site.Bounds{RevokeStrict: tt.strict, RevokeMS: 5000}}}
		if tt.confirmed >= 0 {
			n.confirmed.record(now.Add(-tt.confirmed))
			n.confirmed.record(now.Add(-time.Hour)) // an older confirmation has no effect
		}
		r := n.refuseUnconfirmed(tt.route, &site.Access{Account: tt.account}, now)
		assert.Equal(t, r != nil, tt.refused, tt.name)
		if r != nil {
			assert.Equal(t, r.Outcome, site.Refused, tt.name)
			assert.Assert(t, r.RetryMS > 0, tt.name)
		}
	}
}

// TestConfirmationCountsSuspendedTime guards against an entry that takes its configuration for
// recent after its machine was suspended: the monotonic clock stood still meanwhile.
func TestConfirmationCountsSuspendedTime(t *testing.T) {
	var c confirmation
	_, known := c.age(time.Now())
	assert.Assert(t, !known)
	at := time.Now()
	c.record(at)
	age, _ := c.age(afterSuspension(at, 10*time.Second))
	assert.Assert(t, age >= 10*time.Second, "age is %s", age)
}

// afterSuspension returns the time after a suspension that began at t: the time of day has gone on, the monotonic clock
// has not.
func afterSuspension(t time.Time, length time.Duration) time.Time {
	later := t.Add(length)
	// The second word of a time with a monotonic reading is that reading, in nanoseconds.
	*(*int64)(unsafe.Add(unsafe.Pointer(&later), unsafe.Sizeof(uint64(0)))) -= int64(length)
	return later
}

// TestSuspensionStopsMonotonicClock guards against tests of suspensions that test nothing.
func TestSuspensionStopsMonotonicClock(t *testing.T) {
	at := time.Now()
	later := afterSuspension(at, time.Minute)
	assert.Equal(t, later.Sub(at), time.Duration(0))
	assert.Equal(t, later.Round(0).Sub(at.Round(0)), time.Minute)
}
