package stand

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const maxLatency = 60 * time.Second

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}

func ms(us int64) float64 { return float64(us) / 1000 }

// WriteMeasures prints the load's figures and the three measures of the product.
func WriteMeasures(w io.Writer, ev *Evidence, plan Plan) {
	served, refused := newHistogram(), newHistogram()
	ok, no, failed, bursts, burstOK := 0, 0, 0, 0, 0
	for _, s := range ev.Sent {
		if s.Burst {
			bursts++
		}
		for _, c := range s.Copies {
			switch {
			case c.Whole:
				ok++
				_ = served.RecordValue(c.End - c.Start)
				if s.Burst {
					burstOK++
				}
			case c.Status == http.StatusServiceUnavailable:
				no++
				_ = refused.RecordValue(c.End - c.Start)
			default:
				failed++
			}
		}
	}
	fmt.Fprintf(w, "load: %d requests, %d answers, %d refused, %d other; served p50 %.1f ms p99 %.1f ms; refused p50 %.1f ms\n",
		len(ev.Sent), ok, no, failed, ms(served.ValueAtQuantile(50)), ms(served.ValueAtQuantile(99)), ms(refused.ValueAtQuantile(50)))
	fmt.Fprintf(w, "bursts: %d requests, %d answered; most connections to one VM %d, most requests at once %d\n",
		bursts, burstOK, ev.Report.MaxConns, ev.Report.MaxSlots)
	x := &checker{Evidence: ev}
	x.history = foldHistory(ev.Log)
	fmt.Fprintf(w, "measure buffer cost: %.1f idle VM-minutes\n", idleMinutes(ev, plan))
	fmt.Fprintf(w, "measure roll-out time: %s\n", x.p8().Figures)
	fmt.Fprintf(w, "measure moves: %d\n", x.moves())
}

// idleMinutes is the VM time that no request used, at all slots of a VM.
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
