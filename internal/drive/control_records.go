package drive

import (
	"strings"
	"time"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// What an owner keeps in the job log beside the jobs.
const (
	ownerKey      = "owner"
	epochKey      = "epoch" // of the latest claimant that did not wait for the last owner
	waveKeyPrefix = "wave/"
	ordersKey     = "orders"
	maxClockSkew  = 2 * time.Second // by which two entries' times of day may differ
)

// ownerRecord is the record by which an entry claims a partition.
type ownerRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	Epoch    int64
	Address  string
}

// waveRecord is what the job log keeps of a wave.
type waveRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	Number   int64
	Started  []string // machines whose maintenance has begun
	UnixMS   int64    // the operator asked for it, as the first owner saw
	AgeMS    int64    // since then when the record was written, on the owners' steady clocks
}

// startTime returns when a wave was asked for. A wave that is taken for older than it is is
// only hurried, so the larger of all ages counts.
func (r waveRecord) startTime(now, seen time.Time, within time.Duration) time.Time {
	age := max(now.Sub(seen), time.Duration(r.AgeMS)*time.Millisecond)
	if r.UnixMS > 0 {
		age = max(age, now.Sub(time.UnixMilli(r.UnixMS)))
	}
	return now.Add(-min(age, within))
}

// ordersRecord is what the job log keeps of orders for machines. It is stored before
// they are given, so that the next owner leaves these machines alone for a while.
type ordersRecord struct {
	_msgpack  struct{}                  `msgpack:",as_array"` //nolint:unused // encodes fields by position
	OrderedAt map[string]orderTimestamp // by machine
}

// orderTimestamp says when an order was given.
type orderTimestamp struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	UnixMS   int64
	AgeMS    int64 // when the record was written, on the owner's steady clock
}

// age returns a time that has certainly passed since the order.
func (g orderTimestamp) age(now time.Time) time.Duration {
	return max(now.Sub(time.UnixMilli(g.UnixMS))-maxClockSkew, time.Duration(g.AgeMS)*time.Millisecond)
}

// restoredFleet is what a new owner finds of the last one's work.
type restoredFleet struct {
	waves      map[int64]waveRecord
	orderTimes map[string]orderTimestamp // machines ordered lately
}

// readControlRecords returns the last owner and takes over what the job log keeps of waves.
func (part *ownedPartition) readControlRecords(records []site.Record) ownerRecord {
	var last ownerRecord
	part.restored = restoredFleet{waves: map[int64]waveRecord{}}
	for _, r := range records {
		switch {
		case r.Key == ownerKey:
			if o, err := jobs.Decode[ownerRecord](r.Value); err != nil {
				part.log.WithError(err).Warn("owner record skipped")
			} else {
				last = *o
			}
		case strings.HasPrefix(r.Key, waveKeyPrefix):
			if w, err := jobs.Decode[waveRecord](r.Value); err != nil {
				part.log.WithError(err).Warn("wave record skipped")
			} else {
				part.restored.waves[w.Number] = *w
			}
		case r.Key == ordersKey:
			if o, err := jobs.Decode[ordersRecord](r.Value); err != nil {
				part.log.WithError(err).Warn("record of orders skipped")
			} else {
				part.restored.orderTimes = o.OrderedAt
			}
		}
	}
	return last
}
