package drive

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/sched"
)

// logConfirmation is the latest confirmation of the ownership by the job log.
type logConfirmation struct {
	at      time.Time // when the first attempt at the append began that the log has accepted
	missed  bool      // a line says that there was none for long
	started int       // runs started before
}

// logUnconfirmed logs, once until the next confirmation, that the owner of runs goes on without a confirmation by the job
// log. Another entry may have claimed the partition since the last one.
func (part *ownedPartition) logUnconfirmed(now time.Time) {
	c := &part.logConfirmed
	if c.missed || elapsed(c.at, now) <= sched.FormerOwnerNotice {
		return
	}
	held := part.scheduler.HeldVMs(now)
	if len(held) == 0 {
		return
	}
	c.missed = true
	part.confirmationLog(now).WithField("held", held).Info("the job log has not confirmed the ownership for long; runs go on")
}

// recordLogConfirmation records that the job log has accepted an append, of which the first attempt began at the given time.
func (part *ownedPartition) recordLogConfirmation(now, began time.Time) {
	if part.logConfirmed.missed {
		part.confirmationLog(now).Info("the job log confirms the ownership again")
	}
	part.logConfirmed = logConfirmation{at: began, started: part.scheduler.Stats().Started}
}

// logLoss logs that a later owner has claimed the partition, and on which VMs this one had runs.
func (part *ownedPartition) logLoss(now time.Time) {
	part.confirmationLog(now).WithField("held", part.scheduler.HeldVMs(now)).Warn("partition lost to an owner with a higher epoch")
}

// logLaterOwner logs which entry this one has heard of a later owner from.
func (part *ownedPartition) logLaterOwner(info ownerInfo, from string) {
	if !part.scheduler.Fenced() {
		part.log.WithFields(logrus.Fields{"epoch": part.scheduler.Epoch, "later-epoch": info.Epoch, "owner": info.Address, "from": from}).Info("another entry tells of a later owner")
	}
}

// confirmationLog returns the log with the time since the last confirmation, and how many runs were started since then.
func (part *ownedPartition) confirmationLog(now time.Time) *logrus.Entry {
	return part.log.WithFields(logrus.Fields{
		"epoch": part.scheduler.Epoch, "confirmed-ms": elapsed(part.logConfirmed.at, now).Milliseconds(),
		"started": part.scheduler.Stats().Started - part.logConfirmed.started,
	})
}

// whyWait says for the log why an owner waits for VMs that may hold runs of earlier ones.
func whyWait(lastEpoch int64, former probeAnswer, yielded, soleOwner bool) string {
	switch {
	case lastEpoch == 0:
		return "no former owner"
	case soleOwner && yielded:
		return "former owner has yielded"
	case soleOwner:
		return "former owner has ended"
	case former.ended:
		return "former owner has ended; one before it may go on"
	case former.owns:
		return "former owner did not yield"
	}
	return "former owner is silent"
}
