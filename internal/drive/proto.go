// Package drive runs the scheduler in an entry. The entries of a group divide the partitions
// of the job log among them; each partition has one owner, which runs a sched.Scheduler for
// the pools in it. A caller's request goes from any entry to the owner of its pool's
// partition. The owner stores changes in the job log, sends the scheduler's orders and status
// polls to VMs and passes their replies back to it. When the assignment changes or an owner
// fails, another entry claims the partition and restores the scheduler from the job log.
//
// An owner whose partition is no longer assigned to it releases the partition: it keeps serving
// until the next owner asks it to yield, or for releaseDelay. Then it hands the partition over:
// its scheduler retires, which means that it makes no more decisions, and all changes are stored
// together with a handover record.
//
// The owner of the fleet partition (number 0) also runs the mover, which plans moves and
// maintenance of machines from the reports of all pools and sends orders for them to the platform.
package drive

import (
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// Kinds of calls between entries.
const (
	jobCallKind   = "job-call"     // a caller's request, to the owner of its partition
	syncKind      = "sync"         // a request for the configuration and the known owners
	announceKind  = "announce"     // the sender has become the owner of a partition
	yieldKind     = "yield"        // a request to an owner to give up its partition
	leftKind      = "left"         // the sender has left the platform's group of entries; its partitions are reassigned
	reportKind    = "pool-report"  // the mover's request for a pool's report
	shownNoteKind = "shown-notes"  // jobs that are shown as completed, to another entry than their owner
	shownKind     = "shown-jobs"   // a new owner's request for such jobs
	relayKind     = "relay-append" // an append to the job log, to an entry that the log may serve
	queuesKind    = "queues"       // a request for the queues of a partition's jobs, to its owner
	explainKind   = "explain"      // an operator's request to show a job, to the owner of its partition
)

// jobCall is a caller's request, forwarded to the owner of its partition.
type jobCall struct {
	Partition int
	Kind      site.CallKind
	site.Access
	ID     string
	Job    *jobs.Job
	WaitMS int64 // time left for the reply
	// BeforeSubmit marks the look-up of a job that is about to be submitted. A job of another account
	// is then not hidden, but refused as the submission would be.
	BeforeSubmit bool
	// ConfigVersion is that of the configuration by which the entry has chosen the partition; 0 from earlier
	// versions of the program.
	ConfigVersion int64
}

// syncCall asks another entry for its configuration, if newer, and its known owners.
type syncCall struct {
	ConfigVersion int64  // configuration in force at the requesting entry, 0 if none
	ConfigAgeMS   int64  // time since the requesting entry last knew that it had the newest configuration, -1 if it never did
	Address       string // peer address of the requesting entry
}

// syncReply is the reply to a syncCall.
type syncReply struct {
	ConfigAgeMS int64             // time since the replying entry last knew that it had the newest configuration, -1 if it never did
	Config      *site.Config      // nil unless newer than the requesting entry's
	Owners      map[int]ownerInfo // by partition
	Entries     map[string]int64  // some other entries: the age of their confirmations in milliseconds, by peer address
}

// announcement notifies other entries that an entry has become a partition's owner.
type announcement struct {
	Partition int
	Owner     ownerInfo
}

// ownerInfo identifies a partition's owner. A higher epoch replaces a lower one.
type ownerInfo struct {
	Epoch   int64  // 0 if no owner is known
	Address string // host:port of the owner's peer interface
}

// yieldCall asks a partition's owner to store its last changes and give up ownership, since
// the requesting entry is about to claim the partition.
type yieldCall struct {
	Partition int
	Probe     bool // only asks whether the entry owns the partition
}

// yieldReply is the reply to a yieldCall. Yielded is true for a probe if the entry owns the
// partition, otherwise if the entry has stored its last changes and given up ownership.
type yieldReply struct{ Yielded bool }

// empty is a message without content.
type empty struct{}
