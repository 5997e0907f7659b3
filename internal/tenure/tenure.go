// Package tenure tells until when the owner of a partition may act on its claim. An owner that is cut off does not learn
// that another entry has claimed the partition, so its authority ends by itself.
package tenure

import "time"

const (
	// Validity is how long an owner may renew leases and start tasks after the begin of its latest confirmation.
	Validity = 3900 * time.Millisecond
	// ClockMargin is by how much an owner with a slow clock may exceed Validity.
	ClockMargin = 100 * time.Millisecond
	// renewAfter is the age of the latest confirmation at which an owner that has nothing to store asks for another one.
	renewAfter = time.Second
)

// Tenure is the time for which an owner may act. Its zero value has ended.
type Tenure struct {
	ConfirmedAt time.Time // when the latest check began that found no later owner; zero before the first
}

// Confirm records that a check begun at the given time has found no later owner. An earlier one than the latest has no
// effect.
func (t *Tenure) Confirm(began time.Time) {
	if began.After(t.ConfirmedAt) {
		t.ConfirmedAt = began
	}
}

// Expired reports whether another entry may take for granted that this owner acts no more.
func (t *Tenure) Expired(now time.Time) bool {
	return t.ConfirmedAt.IsZero() || Elapsed(t.ConfirmedAt, now) >= Validity
}

// Due reports whether an owner should ask for a confirmation.
func (t *Tenure) Due(now time.Time) bool {
	return t.ConfirmedAt.IsZero() || Elapsed(t.ConfirmedAt, now) >= renewAfter
}

// ConfirmedSince reports whether the latest confirmation began after the given time.
func (t *Tenure) ConfirmedSince(at time.Time) bool { return t.ConfirmedAt.After(at) }

// Elapsed returns the time from one moment to a later one. It is the larger of the times by the monotonic clock, which
// does not count the time for which a machine is suspended, and by the time of day, which may be set back.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)), 0)
}
