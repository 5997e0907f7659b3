package drive

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/tenure"
)

// unconfirmedTime is what the log tells of the time since the latest confirmation of an ownership.
type unconfirmedTime struct {
	logged  bool // a line says that the authority has ended
	started int  // runs started before
}

// logExpired logs, once until the next confirmation, that the authority of an owner of runs has ended.
func (part *ownedPartition) logExpired(now time.Time) {
	if part.sinceConfirmed.logged || !part.tenure.Expired(now) {
		return
	}
	held := part.scheduler.HeldVMs(now)
	if len(held) == 0 {
		return
	}
	part.sinceConfirmed.logged = true
	part.confirmationLog(now).WithField("held", held).Warn("ownership is not confirmed; no lease is renewed and no task started until it is")
}

// recordConfirmation records that a check of the ownership, begun at the given time, has found no later owner.
func (part *ownedPartition) recordConfirmation(now, began time.Time) {
	gap := part.confirmationLog(now)
	part.confirm(began)
	if part.sinceConfirmed.logged && !part.tenure.Expired(now) {
		gap.Info("ownership is confirmed again")
		part.sinceConfirmed.logged = false
	}
	part.sinceConfirmed.started = part.scheduler.Stats().Started
}

// confirm records when a check of the ownership began that has found no later owner.
func (part *ownedPartition) confirm(began time.Time) {
	part.tenure.Confirm(began)
	at := part.tenure.ConfirmedAt
	part.confirmedAt.Store(&at)
}

// authorityEnded reports on any goroutine whether the authority of the owner has ended.
func (part *ownedPartition) authorityEnded(now time.Time) bool {
	at := part.confirmedAt.Load()
	if at == nil {
		return true
	}
	t := tenure.Tenure{ConfirmedAt: *at}
	return t.Expired(now)
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
		"epoch": part.scheduler.Epoch, "confirmed-ms": tenure.Elapsed(part.tenure.ConfirmedAt, now).Milliseconds(),
		"started": part.scheduler.Stats().Started - part.sinceConfirmed.started,
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
