package sched

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestUnusableReason guards against a VM that gets no work without a reason that an operator can
// see, and against a reason for one that may get work.
func TestUnusableReason(t *testing.T) {
	now := time.Now()
	policy := &Policy{SilentAfter: time.Second}
	tests := []struct {
		change func(v *vm)
		want   string
	}{
		{func(*vm) {}, ""},
		{func(v *vm) { v.listed = false }, "the platform's VM list"},
		{func(v *vm) { v.Draining = true }, "draining"},
		{func(v *vm) { v.cordoned = true }, "cordoned"},
		{func(v *vm) { v.polled = false }, "has not answered"},
		{func(v *vm) { v.pollFailed, v.lastAnswer = true, now.Add(-300*time.Millisecond) }, "silent for 300ms"},
		{func(v *vm) { v.lastAnswer = now.Add(-5 * time.Second) }, "silent for 5s"},
		{func(v *vm) { v.recorded = false }, "not recorded"},
		{func(v *vm) { v.orphans["x"] = 1 }, "holds runs"},
		{func(v *vm) { v.quarantinedUntil, v.probation = now.Add(2*time.Second), true }, "quarantined for another 2s"},
		{func(v *vm) { v.backoffUntil = now.Add(50 * time.Millisecond) }, "refused a start"},
		{func(v *vm) { v.probation = true }, ""},
		{func(v *vm) { v.probation, v.runs["x"] = true, &run{} }, "on probation"},
	}
	for _, tt := range tests {
		v := newVM(site.VM{ID: "i-1"})
		v.listed, v.polled, v.recorded, v.lastAnswer = true, true, true, now
		tt.change(v)
		got := v.unusableReason(now, policy)
		assert.Assert(t, strings.HasPrefix(got, tt.want) && (tt.want == "") == (got == ""), "%q instead of %q", got, tt.want)
		assert.Equal(t, got == "", v.usable(now, policy), tt.want)
	}
}
