package drive

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
)

// TestRecovery guards against a stage that is reported twice, or long after the takeover, when nothing waited for it.
func TestRecovery(t *testing.T) {
	claimed := time.Unix(100, 0)
	tests := []struct {
		name  string
		after []time.Duration // when the stage is reached
		want  []int64         // reported milliseconds
	}{
		{"once", []time.Duration{200 * time.Millisecond}, []int64{200}},
		{"twice", []time.Duration{200 * time.Millisecond, time.Second}, []int64{200}},
		{"long after", []time.Duration{recoveryPeriod}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			logger, hook := test.NewNullLogger()
			r := recovery{log: logrus.NewEntry(logger), startedAt: claimed.Add(-time.Second), claimedAt: claimed}
			for _, after := range tt.after {
				r.reach(claimed.Add(after), firstStart)
			}
			var got []int64
			for _, e := range hook.AllEntries() {
				got = append(got, e.Data["after-ms"].(int64))
				assert.Equal(t, e.Data["since-start-ms"].(int64), got[len(got)-1]+1000)
				assert.Equal(t, e.Data["stage"], firstStart)
			}
			assert.DeepEqual(t, got, tt.want)
		})
	}
}
