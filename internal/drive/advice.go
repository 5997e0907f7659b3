package drive

import (
	"context"
	"time"

	"github.com/greengagelane/greengagelane/internal/httpc"
	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/platform"
)

const adviceTimeout = 3 * time.Second // for one request; others wait meanwhile, since the service takes one call at a time from an entry

// requestAdvice asks the placement policy service for a step's VMs, one request at a time
// for the whole entry, and passes the reply to the scheduler.
func (n *Node) requestAdvice(part *ownedPartition, a sched.AskAdvice) {
	go func() {
		n.adviceMu.Lock()
		defer n.adviceMu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), adviceTimeout)
		defer cancel()
		if n.adviceConn == nil {
			n.adviceConn = httpc.New(n.settings.Advice.Address, adviceTimeout/4)
		}
		tickets, valid, err := platform.FetchAdvice(ctx, n.adviceConn, a.Step, a.VMs, adviceTimeout)
		if err != nil {
			part.log.WithError(err).WithField("step", a.Step).Info("placement policy service did not answer")
		}
		part.post(func(now time.Time) { part.scheduler.HandleAdvice(now, &a, tickets, valid, err) })
	}()
}
