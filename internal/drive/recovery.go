package drive

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// Stages of serving again after a takeover, in the order in which they are usually reached.
const (
	vmsReached    = "vms-reached"    // nine tenths of the partition's VMs have answered
	firstStart    = "first-start"    // a task has been started
	quotasGranted = "quotas-granted" // all owners hold fractions of this quota coordinator
	firstOrder    = "first-order"    // the mover has sent an order
)

// recoveryPeriod is how long after a claim a stage counts as part of the recovery. Later, nothing was waiting for it.
const recoveryPeriod = 30 * time.Second

// recovery tells operators how long after a takeover the stages were reached. The zero value awaits none.
type recovery struct {
	log       *logrus.Entry
	startedAt time.Time // of the process
	claimedAt time.Time
	reached   map[string]bool
}

// awaits reports whether a stage is still to be reached.
func (r *recovery) awaits(now time.Time, stage string) bool {
	return !r.reached[stage] && now.Sub(r.claimedAt) < recoveryPeriod
}

// reach records that a stage is reached, the first time only.
func (r *recovery) reach(now time.Time, stage string) {
	if !r.awaits(now, stage) {
		return
	}
	if r.reached == nil {
		r.reached = map[string]bool{}
	}
	r.reached[stage] = true
	after := now.Sub(r.claimedAt).Milliseconds()
	r.log.WithFields(logrus.Fields{
		"stage": stage, "after-ms": after, "since-start-ms": now.Sub(r.startedAt).Milliseconds(),
	}).Info("recovered after a takeover")
	metrics.GetOrCreateCounter(`greengagelane_recovery_ms{stage="` + stage + `"}`).Set(uint64(max(after, 0)))
}
