package drive

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagelane/greengagelane/internal/peer"
	"github.com/greengagelane/greengagelane/pkg/site"
)

// TestPartitionsAreAskedAtOnce guards against a request about a job whose queue may have been moved, and that asks one
// partition after the other: each owner asks the job log before it denies the job, so the caller waits for all of these in
// turn. It also guards against a denial while one owner could not tell.
func TestPartitionsAreAskedAtOnce(t *testing.T) {
	const first, asked = 100, 4 // of the partitions; the entry owns none of them
	tests := []struct {
		name    string
		replies [asked]site.Outcome
		want    site.Outcome
	}{
		{"no such job", [asked]site.Outcome{site.NoSuchJob, site.NoSuchJob, site.NoSuchJob, site.NoSuchJob}, site.NoSuchJob},
		{"one holds it", [asked]site.Outcome{site.NoSuchJob, site.NoSuchJob, site.OK, site.NoSuchJob}, site.OK},
		{"one holds it, one refuses", [asked]site.Outcome{site.Refused, site.NoSuchJob, site.OK, site.NoSuchJob}, site.OK},
		{"one refuses", [asked]site.Outcome{site.NoSuchJob, site.Refused, site.NoSuchJob, site.NoSuchJob}, site.Refused},
	}
	n := newCluster(t, 1, map[string]int{"alpha": 1}).nodes[0]
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var all sync.WaitGroup // of the partitions that are to be asked before one answers
			all.Add(asked)
			s := peer.NewServer(func() []string { return nil })
			defer s.Close()
			peer.Handle(s, jobCallKind, func(_ context.Context, _ string, c *jobCall) (*site.Reply, error) {
				all.Done()
				all.Wait()
				return &site.Reply{Outcome: tt.replies[(c.Partition-first)%asked]}, nil
			})
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer ln.Close()
			go s.Serve(t.Context(), ln)
			var list []int
			for k := range asked {
				p := first + i*asked + k
				n.owners.recordClaim(p, ownerInfo{Epoch: 1, Address: ln.Addr().String()})
				list = append(list, p)
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			c := &jobCall{Kind: site.ShowJob, ID: "00000000000000b1"}
			assert.Equal(t, n.tryPartitions(ctx, c, list, site.Reply{Outcome: site.NoSuchJob}).Outcome, tt.want)
		})
	}
}
