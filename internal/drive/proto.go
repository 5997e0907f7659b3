// Package drive carries out what the scheduler decides: it shares the partitions of
// the job log among the entries, stores jobs, speaks with VMs and passes callers'
// requests to the entry that decides for their pool.
package drive

import (
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// Kinds of calls between entries.
const (
	jobCallKind  = "job-call"
	syncKind     = "sync"
	announceKind = "announce"
	yieldKind    = "yield"
	leftKind     = "left"
	reportKind   = "pool-report"
	explainKind  = "explain"
)

// jobCall is a caller's request on its way to the owner of its partition.
type jobCall struct {
	Partition int
	Kind      site.CallKind
	Queue     string
	ID        string
	Job       *jobs.Job
	WaitMS    int64 // time left for the answer
}

// syncCall asks what the other entry knows, and says what this one does.
type syncCall struct {
	ConfigVersion int64 // of the newest configuration that the asking entry has
}

// syncReply carries the newest configuration if it is newer, and the known owners.
type syncReply struct {
	Config *site.Config
	Owners map[int]ownerInfo
}

// announcement tells that an entry has become a partition's owner.
type announcement struct {
	Partition int
	Owner     ownerInfo
}

// ownerInfo is what is known of a partition's owner. A higher epoch replaces a lower
// one.
type ownerInfo struct {
	Epoch   int64  // 0 if only the group's assignment is known
	Address string // of its peer interface
}

// yieldCall asks a partition's owner to store its last changes and end, since the
// asking entry is about to claim the partition.
type yieldCall struct {
	Partition int
	Probe     bool // only asks whether the entry owns the partition
}

// yieldReply says whether the entry owned the partition; its last changes are stored
// unless the call was a probe.
type yieldReply struct{ Yielded bool }

// empty is an empty answer.
type empty struct{}
