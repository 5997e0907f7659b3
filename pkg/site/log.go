package site

import "errors"

// Errors of the platform's log and of orders. A call that fails with none of them
// may have been carried out.
var (
	ErrFenced   = errors.New("a later owner has taken the partition over")
	ErrConflict = errors.New("the partition does not end at the expected offset")
	ErrSequence = errors.New("the log expects another sequence number")
	ErrNotDone  = errors.New("refused, nothing was done")
)

// Record is the newest value of a key.
type Record struct {
	Key   string
	Value []byte // empty drops the key
}

// Append adds records to one partition, all or nothing.
type Append struct {
	Partition int
	Epoch     int64 // of the owner; a higher one shuts out all lower ones
	Sequence  int64 // of this append within the epoch, without gaps
	ExpectEnd int64 // offset at which the partition must end; negative for any
	Records   []Record
}

// Table is the newest records of a partition.
type Table struct {
	Records []Record
	End     int64 // a record at or after this offset may be missing
}

// Add takes over records that were appended after the table was read.
func (t *Table) Add(tail *Table) {
	at := make(map[string]int, len(t.Records))
	for i, r := range t.Records {
		at[r.Key] = i
	}
	for _, r := range tail.Records {
		if i, known := at[r.Key]; known {
			t.Records[i] = r
			continue
		}
		at[r.Key] = len(t.Records)
		t.Records = append(t.Records, r)
	}
	t.End = tail.End
}

// Member asks for a share of the job log's partitions.
type Member struct {
	Name       string
	Generation int64 // of the last answer; 0 at first
	TTLMS      int
}

// Share is a member's part of the job log.
type Share struct {
	Generation int64
	Partitions []int
}

// Topic is a set of records that the adapter can watch.
type Topic int

// Topics that the platform and its operators write.
const (
	Operator Topic = iota // configuration and waves
	Servers               // VMs as they report themselves
)

// Change is what a watched topic says: at most one of the fields is set.
type Change struct {
	Config    *Config
	Wave      *Wave
	VM        *VM
	RemovedVM string // identifier of a VM whose entry was removed
}
