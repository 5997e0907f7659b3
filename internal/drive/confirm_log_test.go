package drive

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/tenure"
)

// TestLogTellsOnceThatOwnerIsUnconfirmed guards against an owner with runs that goes on without a confirmation by the job log
// and of which no line tells, and against a line in each round.
func TestLogTellsOnceThatOwnerIsUnconfirmed(t *testing.T) {
	const unconfirmedLine, confirmedLine = "ownership is not confirmed; no lease is renewed and no task started until it is", "ownership is confirmed again"
	tests := []struct {
		name   string
		runs   bool
		rounds []time.Duration // after the last confirmation
		stored bool            // an append is stored after the rounds
		lines  int
		again  int
	}{
		{"confirmed in time", true, []time.Duration{time.Second, tenure.Validity - time.Millisecond}, true, 0, 0},
		{"unconfirmed", true, []time.Duration{time.Second, tenure.Validity, 5 * time.Second, time.Minute}, false, 1, 0},
		{"confirmed late", true, []time.Duration{tenure.Validity + 100*time.Millisecond}, true, 1, 1},
		{"no runs", false, []time.Duration{tenure.Validity + 100*time.Millisecond}, true, 0, 0},
	}
	c := newCluster(t, 1, map[string]int{"alpha": 1})
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			part := partitionWithJob(t, c.nodes[0], i)
			defer part.cancel()
			log, hook := test.NewNullLogger()
			part.log = logrus.NewEntry(log)
			now := time.Now()
			part.tenure = tenure.Tenure{ConfirmedAt: now}
			if tt.runs {
				part.round(t.Context(), now)
				assert.Equal(t, part.scheduler.Stats().Started, 1)
			}
			for _, d := range tt.rounds {
				part.logExpired(now.Add(d))
			}
			last := now.Add(tt.rounds[len(tt.rounds)-1])
			if tt.stored {
				part.recordConfirmation(last, last.Add(-10*time.Millisecond))
				part.logExpired(last.Add(time.Second))
			}
			count := map[string]int{}
			for _, e := range hook.AllEntries() {
				count[e.Message]++
			}
			assert.Equal(t, count[unconfirmedLine], tt.lines)
			assert.Equal(t, count[confirmedLine], tt.again)
		})
	}
}

// TestLogTellsWhyOwnerWaits guards against a claim of which no line tells what is known of the former owner.
func TestLogTellsWhyOwnerWaits(t *testing.T) {
	tests := []struct {
		lastEpoch     int64
		former        probeAnswer
		yielded, sole bool
		want          string
	}{
		{0, probeAnswer{}, false, true, "no former owner"},
		{1, probeAnswer{ended: true}, false, true, "former owner has ended"},
		{1, probeAnswer{owns: true, ended: true}, true, true, "former owner has yielded"},
		{1, probeAnswer{ended: true}, false, false, "former owner has ended; one before it may go on"},
		{1, probeAnswer{owns: true}, false, false, "former owner did not yield"},
		{1, probeAnswer{}, false, false, "former owner is silent"},
	}
	for _, tt := range tests {
		assert.Equal(t, whyWait(tt.lastEpoch, tt.former, tt.yielded, tt.sole), tt.want)
	}
}
