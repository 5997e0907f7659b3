package stand

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const maxLatency = 60 * time.Second // largest latency that a histogram records

// newHistogram returns a histogram of latencies in microseconds with three significant
// digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}

// ms converts microseconds to milliseconds.
func ms(us int64) float64 { return float64(us) / 1000 }

// WriteMeasures prints figures of the load and the three costs that a run incurs: idle VM
// time (buffer cost), roll-out time and moves.
func WriteMeasures(w io.Writer, ev *Evidence, plan Plan) {
	servedLatency, refusedLatency := newHistogram(), newHistogram()
	served, refused, other, burstRequests, burstServed := 0, 0, 0, 0, 0
	for _, req := range ev.Sent {
		if req.Burst {
			burstRequests++
		}
		for _, a := range req.Attempts {
			switch {
			case a.Correct:
				served++
				_ = servedLatency.RecordValue(a.End - a.Start)
				if req.Burst {
					burstServed++
				}
			case a.Status == http.StatusServiceUnavailable:
				refused++
				_ = refusedLatency.RecordValue(a.End - a.Start)
			default:
				other++
			}
		}
	}
	fmt.Fprintf(w, "load: %d requests; attempts: %d served, %d refused, %d other; served p50 %.1f ms p99 %.1f ms; refused p50 %.1f ms\n",
		len(ev.Sent), served, refused, other, ms(servedLatency.ValueAtQuantile(50)), ms(servedLatency.ValueAtQuantile(99)), ms(refusedLatency.ValueAtQuantile(50)))
	fmt.Fprintf(w, "bursts: %d requests, %d served; most connections to one VM %d, most concurrent requests on one VM %d\n",
		burstRequests, burstServed, ev.Report.MaxConns, ev.Report.MaxSlots)
	c := &checker{Evidence: ev}
	c.history = foldHistory(ev.Log)
	fmt.Fprintf(w, "measure buffer cost: %.1f idle VM-minutes\n", idleMinutes(ev, plan))
	fmt.Fprintf(w, "measure roll-out time: %s\n", c.p8().Summary)
	fmt.Fprintf(w, "measure moves: %d\n", c.moves())
}

// idleMinutes returns the unused time of all VMs during the load, in minutes. A running
// request uses one slot, which is 1/demoSlots of a VM.
func idleMinutes(ev *Evidence, plan Plan) float64 {
	var busy int64
	for _, r := range ev.Report.Runs {
		if r.End > 0 {
			busy += r.End - r.Start
		}
	}
	total := plan.Seconds * demoVMs
	return (total - float64(busy)/1e6/demoSlots) / 60
}
