package drive

import (
	"time"

	"github.com/greengagelane/greengagelane/internal/tenure"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// confirmOwnership reports whether the partition may decide. After a pause in which another entry may
// have taken the partition over, its owner record is stored anew first, which the log refuses if a
// later owner has claimed the partition. VMs that have not heard of that owner would still carry out the
// orders of this one, which takes all VMs for silent after a long pause and starts their tasks
// elsewhere. A record that was on its way before a further pause confirms nothing.
func (part *ownedPartition) confirmOwnership(now time.Time) bool {
	paused, pause := part.paused(now), tenure.Elapsed(part.lastRoundAt, now)
	part.lastRoundAt = now
	if !paused {
		return !part.unconfirmed
	}
	part.scheduler.RestartVerification(now)
	value, err := jobs.Encode(&ownerRecord{Epoch: part.scheduler.Epoch, Address: part.node.address})
	if err != nil {
		part.log.WithError(err).Error("cannot encode the owner record")
		return false
	}
	part.unconfirmed = true
	part.pauses++
	n := part.pauses
	part.log.WithField("pause-ms", pause.Milliseconds()).Info("partition was paused; confirming its ownership")
	part.pendingRecords = append(part.pendingRecords, controlRecord{
		record: site.Record{Key: ownerKey, Value: value},
		onStored: func() {
			part.post(func(time.Time) { part.unconfirmed = part.unconfirmed && n < part.pauses })
		},
	})
	return false
}

// paused reports whether another entry may have taken the partition over since the last round.
func (part *ownedPartition) paused(now time.Time) bool {
	return !part.lastRoundAt.IsZero() && tenure.Elapsed(part.lastRoundAt, now) >= memberTTL
}

// requestConfirmation has the next flush store the epoch anew if the owner or a question needs a confirmation and there is
// nothing else to store. The log refuses it if a later owner has claimed the partition. All waiting questions share it.
func (part *ownedPartition) requestConfirmation(now time.Time) {
	needed := len(part.questions) > 0 || part.tenure.Due(now) || part.scheduler.AwaitsConfirmation()
	if !needed || part.scheduler.Retired() || part.flushing || len(part.pendingRecords) > 0 {
		return
	}
	value, err := jobs.Encode(&part.scheduler.Epoch)
	if err != nil {
		part.log.WithError(err).Error("cannot encode the epoch")
		return
	}
	part.pendingRecords = append(part.pendingRecords, controlRecord{record: site.Record{Key: epochKey, Value: value}})
}
