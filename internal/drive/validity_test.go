package drive

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/internal/tenure"
	"github.com/greengagelane/greengagelane/pkg/jobs"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestClaimantWaitsForOwnersOfLaterVersion guards against tasks that run twice beside an owner of a later version, which acts
// for longer after its latest confirmation than one of this version.
func TestClaimantWaitsForOwnersOfLaterVersion(t *testing.T) {
	record := func(ms int64) []site.Record {
		value, err := jobs.Encode(&ms)
		assert.NilError(t, err)
		return []site.Record{{Key: validityKey, Value: value}}
	}
	tests := []struct {
		name    string
		records []site.Record
		want    time.Duration
	}{
		{"none", nil, sched.FormerOwnerNotice},
		{"shorter", record(1000), sched.FormerOwnerNotice},
		{"longer", record(8000), 8*time.Second + tenure.ClockMargin},
		{"negative", record(-1), sched.FormerOwnerNotice},
		{"beyond the limit", record(1 << 40), maxValidity + tenure.ClockMargin},
		{"cannot be decoded", []site.Record{{Key: validityKey, Value: []byte{0xc1}}}, sched.FormerOwnerNotice},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, tt := range tests {
		part := &ownedPartition{log: logrus.NewEntry(log)}
		part.readControlRecords(tt.records)
		assert.Equal(t, part.formerNotice, tt.want, tt.name)
	}
}
