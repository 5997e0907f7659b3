package site

import "errors"

// Errors of calls to the platform's log and of orders to VMs. A call that fails with
// any other error may have been carried out.
var (
	ErrFenced   = errors.New("fenced: a later owner has claimed the partition")
	ErrConflict = errors.New("the end of the partition is not at the expected offset")
	ErrSequence = errors.New("the log expects another sequence number")
	ErrNotDone  = errors.New("call was refused or not sent; nothing was done")
	// ErrIncomplete is the error of a read whose answers lack records.
	ErrIncomplete = errors.New("the answers of the log lack records")
)

// Record is a key and a value in the platform's log. A later record of a key replaces the
// earlier one.
type Record struct {
	Key   string
	Value []byte // empty for a tombstone, which removes the key
}

// Append adds records to one partition of the job log, all or none.
type Append struct {
	Partition int
	Epoch     int64 // of the owner; an accepted append fences off all lower epochs
	Sequence  int64 // number of this append within the epoch; consecutive
	ExpectEnd int64 // offset at which the partition must end; negative to skip the check
	Records   []Record
}

// Table holds the newest record of each key of a partition.
type Table struct {
	Records []Record
	End     int64 // records at or after this offset may be missing
}

// Add merges records that were appended after the table was read.
func (t *Table) Add(tail *Table) {
	index := make(map[string]int, len(t.Records))
	for i, r := range t.Records {
		index[r.Key] = i
	}
	for _, r := range tail.Records {
		if i, ok := index[r.Key]; ok {
			t.Records[i] = r
			continue
		}
		index[r.Key] = len(t.Records)
		t.Records = append(t.Records, r)
	}
	t.End = tail.End
}

// Member is an entry's request to join the group that shares the job log's
// partitions.
type Member struct {
	Name       string
	Generation int64 // from the last Share received; 0 before the first
	TTLMS      int   // a member that does not renew within this time is removed
}

// Share is the set of job log partitions assigned to a member.
type Share struct {
	Generation int64 // of the assignment
	Partitions []int
}

// Topic is a topic of the platform's log that the adapter can watch for changes.
type Topic int

// Topics that entries read and do not write.
const (
	Operator Topic = iota // configuration and waves, written by operators
	Servers               // reports of the VMs about themselves, written by the platform
)

// Change is one change in a watched topic. Exactly one of its fields is set.
type Change struct {
	Config    *Config
	Wave      *Wave
	VM        *VM
	RemovedVM string // identifier of a VM whose record was removed
}

// IsUnanswered reports whether an error leaves open if the call was carried out.
func IsUnanswered(err error) bool {
	if err == nil {
		return false
	}
	for _, answer := range []error{ErrFenced, ErrConflict, ErrSequence, ErrNotDone} {
		if errors.Is(err, answer) {
			return false
		}
	}
	return true
}
