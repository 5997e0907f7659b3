package stand

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const maxLatency = 60 * time.Second // largest value that a histogram counts

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 3)
}

func ms(us int64) float64 { return float64(us) / 1000 }

// WriteMeasures prints figures of the load and the three measures of cost: idle buffer,
// roll-out time and moves.
func WriteMeasures(w io.Writer, ev *Evidence, plan Plan) {
	served, refused := newHistogram(), newHistogram()
	answered, rejected, failed, bursts, burstsAnswered := 0, 0, 0, 0, 0
	for _, req := range ev.Sent {
		if req.Burst {
			bursts++
		}
		for _, a := range req.Attempts {
			switch {
			case a.Correct:
				answered++
				_ = served.RecordValue(a.End - a.Start)
				if req.Burst {
					burstsAnswered++
				}
			case a.Status == http.StatusServiceUnavailable:
				rejected++
				_ = refused.RecordValue(a.End - a.Start)
			default:
				failed++
			}
		}
	}
	fmt.Fprintf(w, "load: %d requests, %d answers, %d refused, %d other; served p50 %.1f ms p99 %.1f ms; refused p50 %.1f ms\n",
		len(ev.Sent), answered, rejected, failed, ms(served.ValueAtQuantile(50)), ms(served.ValueAtQuantile(99)), ms(refused.ValueAtQuantile(50)))
	fmt.Fprintf(w, "bursts: %d requests, %d answered; most connections to one VM %d, most requests at once %d\n",
		bursts, burstsAnswered, ev.Report.MaxConns, ev.Report.MaxSlots)
	c := &checker{Evidence: ev}
	c.history = foldHistory(ev.Log)
	fmt.Fprintf(w, "measure buffer cost: %.1f idle VM-minutes\n", idleMinutes(ev, plan))
	fmt.Fprintf(w, "measure roll-out time: %s\n", c.p8().Summary)
	fmt.Fprintf(w, "measure moves: %d\n", c.moves())
}

// idleMinutes returns the unused VM time in minutes. A running request uses one slot, that
// is, 1/demoSlots of a VM.
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
