package drive

import (
	"strings"
	"time"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/internal/tenure"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// Keys of the control records, which an owner stores in the job log beside the jobs, and the
// clock skew to allow for when another entry reads them.
const (
	ownerKey      = "owner"
	epochKey      = "epoch"       // stored by a claimant to fence off the last owner if it did not yield, and by an owner to confirm its ownership
	storedOnlyKey = "stored-only" // holds an owner's epoch: what was shown as completed up to then, and by that owner, is stored
	soleOwnerKey  = "sole-owner"  // holds an owner's epoch: the owners before it renew no leases any more
	validityKey   = "validity"    // holds the longest time, in milliseconds, for which an owner of a later version acts after a confirmation
	waveKeyPrefix = "wave/"
	ordersKey     = "orders"
	maxClockSkew  = 2 * time.Second // between the wall clocks of two entries

	maxValidity = 15 * time.Second // under validityKey; a longer one is taken for a mistake
)

// ownerRecord is the record with which an entry claims a partition.
type ownerRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	Epoch    int64
	Address  string
}

// waveRecord is the stored state of a maintenance wave.
type waveRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	Number   int64
	Started  []string // machines whose maintenance has begun
	UnixMS   int64    // wall-clock time at which the first owner read the operator's request
	AgeMS    int64    // time from then to the write of this record, measured by the monotonic clocks of successive owners
}

// startTime returns when a wave was requested, from the largest of its known ages, limited to
// the wave's time limit (within). An overestimated age only leaves the wave less time.
func (r waveRecord) startTime(now, seen time.Time, within time.Duration) time.Time {
	age := max(now.Sub(seen), time.Duration(r.AgeMS)*time.Millisecond)
	if r.UnixMS > 0 {
		age = max(age, now.Sub(time.UnixMilli(r.UnixMS)))
	}
	return now.Add(-min(age, within))
}

// ordersRecord lists the machines with recent orders. It is stored before the orders are
// sent, so that the next owner sends none to these machines for a while.
type ordersRecord struct {
	_msgpack  struct{}                  `msgpack:",as_array"` //nolint:unused // encodes fields by position
	OrderedAt map[string]orderTimestamp // latest order, by machine
}

// orderTimestamp is the time of an order.
type orderTimestamp struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	UnixMS   int64
	AgeMS    int64 // when the record was written, on the owner's monotonic clock
}

// age returns a lower bound of the time since the order.
func (t orderTimestamp) age(now time.Time) time.Duration {
	return max(now.Sub(time.UnixMilli(t.UnixMS))-maxClockSkew, time.Duration(t.AgeMS)*time.Millisecond)
}

// restoredFleet holds the waves and orders that the former owner's mover has stored.
type restoredFleet struct {
	waves      map[int64]waveRecord      // by wave number
	orderTimes map[string]orderTimestamp // recent orders, by machine
}

// readControlRecords sets part.restored from the records of waves and orders and returns the
// last owner, whose epoch is 0 if there is none. It sets part.storedOnly, part.lastWasSole and part.formerNotice too.
func (part *ownedPartition) readControlRecords(records []site.Record) ownerRecord {
	var last ownerRecord
	var storedOnlyEpoch, soleEpoch int64
	part.restored = restoredFleet{waves: map[int64]waveRecord{}}
	part.formerNotice = sched.FormerOwnerNotice
	for _, r := range records {
		switch {
		case r.Key == ownerKey:
			if o, err := jobs.Decode[ownerRecord](r.Value); err != nil {
				part.log.WithError(err).Warn("skipping an owner record that cannot be decoded")
			} else {
				last = *o
			}
		case r.Key == storedOnlyKey:
			if e, err := jobs.Decode[int64](r.Value); err != nil {
				part.log.WithError(err).Warn("skipping the epoch of an owner that shows what is stored: it cannot be decoded")
			} else {
				storedOnlyEpoch = *e
			}
		case r.Key == soleOwnerKey:
			if e, err := jobs.Decode[int64](r.Value); err != nil {
				part.log.WithError(err).Warn("skipping the epoch of an owner beside which no other renewed leases: it cannot be decoded")
			} else {
				soleEpoch = *e
			}
		case r.Key == validityKey:
			part.readValidity(r.Value)
		case strings.HasPrefix(r.Key, waveKeyPrefix):
			if w, err := jobs.Decode[waveRecord](r.Value); err != nil {
				part.log.WithError(err).Warn("skipping a wave record that cannot be decoded")
			} else {
				part.restored.waves[w.Number] = *w
			}
		case r.Key == ordersKey:
			if o, err := jobs.Decode[ordersRecord](r.Value); err != nil {
				part.log.WithError(err).Warn("skipping a record of orders that cannot be decoded")
			} else {
				part.restored.orderTimes = o.OrderedAt
			}
		}
	}
	part.storedOnly, part.lastWasSole = storedOnlyEpoch == last.Epoch, soleEpoch == last.Epoch
	return last
}

// readValidity extends the time for which former owners may go on by what one of a later version has stored. Owners of this
// version store nothing under the key: entries of the version before do not read it.
func (part *ownedPartition) readValidity(value []byte) {
	ms, err := jobs.Decode[int64](value)
	if err != nil {
		part.log.WithError(err).Warn("skipping the validity of an owner's confirmation: it cannot be decoded")
		return
	}
	validity := time.Duration(min(*ms, maxValidity.Milliseconds())) * time.Millisecond
	if *ms > maxValidity.Milliseconds() {
		part.log.WithField("validity-ms", *ms).Warn("validity of an owner's confirmation exceeds its limit")
	}
	part.formerNotice = max(part.formerNotice, validity+tenure.ClockMargin)
}
