package drive

import (
	"context"
	"time"

	"github.com/greengagelane/greengagelane/internal/httpc"
	"github.com/greengagelane/greengagelane/internal/sched"
	"github.com/greengagelane/greengagelane/platform"
)

const adviceLimit = 3 * time.Second // the service takes one call of an entry after the other

// advise asks the placement policy, one question at a time for this entry.
func (n *Node) advise(sh *shard, a sched.AskAdvice) {
	go func() {
		n.adviceMu.Lock()
		defer n.adviceMu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), adviceLimit)
		defer cancel()
		if n.adviceConn == nil {
			n.adviceConn = httpc.New(n.set.Advice.Address, adviceLimit/4)
		}
		tickets, valid, err := platform.FetchAdvice(ctx, n.adviceConn, a.Step, a.VMs, adviceLimit)
		if err != nil {
			sh.log.WithError(err).WithField("step", a.Step).Info("placement policy did not answer")
		}
		sh.post(func(now time.Time) { sh.core.HandleAdvice(now, &a, tickets, valid, err) })
	}()
}
