package drive

import (
	"strings"
	"time"

	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// What an owner keeps in the job log beside the jobs.
const (
	ownerKey  = "owner"
	epochKey  = "epoch" // of the latest claimant that did not wait for the last owner
	waveKey   = "wave/"
	ordersKey = "orders"
	clockSkew = 2 * time.Second // by which two entries' times of day may differ
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
	Done     []string // machines whose maintenance has begun
	UnixMS   int64    // the operator asked for it, as the first owner saw
	AgeMS    int64    // since then when the record was written, on the owners' steady clocks
}

// began returns when a wave was asked for. A wave that is taken for older than it is is
// only hurried, so the larger of all ages counts.
func (r waveRecord) began(now, seen time.Time, within time.Duration) time.Time {
	age := max(now.Sub(seen), time.Duration(r.AgeMS)*time.Millisecond)
	if r.UnixMS > 0 {
		age = max(age, now.Sub(time.UnixMilli(r.UnixMS)))
	}
	return now.Add(-min(age, within))
}

// ordersRecord is what the job log keeps of orders for machines. It is stored before
// they are given, so that the next owner leaves these machines alone for a while.
type ordersRecord struct {
	_msgpack struct{}           `msgpack:",as_array"` //nolint:unused // encodes fields by position
	Given    map[string]givenAt // by machine
}

// givenAt says when an order was given.
type givenAt struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // encodes fields by position
	UnixMS   int64
	AgeMS    int64 // when the record was written, on the owner's steady clock
}

// age returns a time that has certainly passed since the order.
func (g givenAt) age(now time.Time) time.Duration {
	return max(now.Sub(time.UnixMilli(g.UnixMS))-clockSkew, time.Duration(g.AgeMS)*time.Millisecond)
}

// keptFleet is what a new owner finds of the last one's work.
type keptFleet struct {
	waves  map[int64]waveRecord
	orders map[string]givenAt // machines ordered lately
}

// readOwn returns the last owner and takes over what the job log keeps of waves.
func (sh *shard) readOwn(records []site.Record) ownerRecord {
	var last ownerRecord
	sh.kept = keptFleet{waves: map[int64]waveRecord{}}
	for _, r := range records {
		switch {
		case r.Key == ownerKey:
			if o, err := jobs.Decode[ownerRecord](r.Value); err != nil {
				sh.log.WithError(err).Warn("owner record skipped")
			} else {
				last = *o
			}
		case strings.HasPrefix(r.Key, waveKey):
			if w, err := jobs.Decode[waveRecord](r.Value); err != nil {
				sh.log.WithError(err).Warn("wave record skipped")
			} else {
				sh.kept.waves[w.Number] = *w
			}
		case r.Key == ordersKey:
			if o, err := jobs.Decode[ordersRecord](r.Value); err != nil {
				sh.log.WithError(err).Warn("record of orders skipped")
			} else {
				sh.kept.orders = o.Given
			}
		}
	}
	return last
}
