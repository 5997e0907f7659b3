package query

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/drive"
	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestWriteAccounts guards against an account, pool or missing owner that the table leaves out, and
// against an absent limit that looks like one of 0.
func TestWriteAccounts(t *testing.T) {
	resp := &drive.AccountsResponse{
		Version: 7,
		Accounts: []drive.AccountLoad{
			{Name: "archive", Configured: true, Weight: 47, Limit: site.Resources{CPU: 5_405_000}, Pools: map[string]sched.AccountReport{
				"alpha": {Waiting: 3, Running: 2, Refused: 9, Used: site.Resources{CPU: 2500, MemMB: 300}, Demand: site.Resources{CPU: 4000}, Share: 16, Fraction: 0.75}, "beta": {Running: 1, Used: site.Resources{GPU: 2}},
			}},
			{Name: "press", Configured: true, Weight: 5, Limit: site.Resources{MemMB: 4000}},
			{Name: "quiet", Configured: true, Weight: 5},
			{Name: "gone", Pools: map[string]sched.AccountReport{"alpha": {Running: 1}}},
		},
		Missing: map[string]string{"gamma": "no owner of the partition is known"},
	}
	var out strings.Builder
	assert.NilError(t, writeAccounts(&out, resp))
	var lines []string
	for line := range strings.Lines(out.String()) {
		lines = append(lines, strings.Join(strings.Fields(line), " "))
	}
	assert.DeepEqual(t, lines, []string{
		"configuration 7",
		"ACCOUNT WEIGHT LIMIT POOL WAITING RUNNING REFUSED IN USE DEMAND SHARE QUOTA HELD",
		"archive 47 5405.0 cores alpha 3 2 9 2.5 cores, 300 MB 4.0 cores 16 cores 75 %",
		"archive 47 5405.0 cores beta 0 1 0 0.0 cores, 2 accelerators 0.0 cores 0 cores 0 %",
		"press 5 no limit of cores, 4000 MB -",
		"quiet 5 none -",
		"gone removed - alpha 0 1 0 0.0 cores 0.0 cores 0 cores 0 %",
		"pool gamma is missing: no owner of the partition is known",
	})
}
