package usage

import (
	"context"
	"math"
	"runtime/metrics"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	watchInterval  = time.Second
	shortWait      = 5 * time.Millisecond // mean wait for the processor from which a process is short of it; a start and the status that shows its end each wait several times
	repeatInterval = 5 * time.Second      // between two lines while it is
)

// Sample holds the counters of the process at one time.
type Sample struct {
	At      time.Time
	Work    [len(_KindIndex) - 1]Work
	Orders  Work                      // taken from the queues to VMs; Time is their wait there
	Waits   *metrics.Float64Histogram // of goroutines for the processor, in seconds
	Idle    float64                   // seconds for which processors were idle; as of the last garbage collection, like Total
	Total   float64                   // seconds of all processors that the process may use
	Collect float64                   // seconds that garbage collection took
}

const (
	waitsMetric   = "/sched/latencies:seconds"
	idleMetric    = "/cpu/classes/idle:cpu-seconds"
	totalMetric   = "/cpu/classes/total:cpu-seconds"
	collectMetric = "/cpu/classes/gc/total:cpu-seconds"
)

// TakeSample reads the counters of the process.
func TakeSample(now time.Time) *Sample {
	read := []metrics.Sample{{Name: waitsMetric}, {Name: idleMetric}, {Name: totalMetric}, {Name: collectMetric}}
	metrics.Read(read)
	s := &Sample{At: now, Orders: orders.read(), Waits: read[0].Value.Float64Histogram(), Idle: read[1].Value.Float64(), Total: read[2].Value.Float64(), Collect: read[3].Value.Float64()}
	for i := range work {
		s.Work[i] = work[i].read()
	}
	return s
}

// Interval is what a process did between two samples.
type Interval struct {
	Length     time.Duration
	Work       [len(_KindIndex) - 1]Work
	Orders     Work
	Wakeups    uint64        // times that a goroutine got the processor
	MeanWait   time.Duration // of a goroutine for the processor
	LongWait   time.Duration // that one in ten exceeded
	Busy       float64       // share of the time for which the process used its processors; 0 if not known
	Collecting float64       // part of Busy for garbage collection
}

// Between returns what the process did between two samples.
func Between(from, to *Sample) *Interval {
	v := &Interval{Length: to.At.Sub(from.At), Orders: to.Orders.since(from.Orders)}
	for i := range v.Work {
		v.Work[i] = to.Work[i].since(from.Work[i])
	}
	v.setWaits(from.Waits, to.Waits)
	if total := to.Total - from.Total; total > 0 {
		v.Busy, v.Collecting = 1-(to.Idle-from.Idle)/total, (to.Collect-from.Collect)/total
	}
	return v
}

// setWaits sets the waits from two states of one histogram. A wait counts as the lower bound of its bucket.
func (v *Interval) setWaits(from, to *metrics.Float64Histogram) {
	counts := make([]uint64, len(to.Counts))
	sum := 0.0
	for i := range counts {
		counts[i] = to.Counts[i] - from.Counts[i]
		v.Wakeups += counts[i]
		sum += float64(counts[i]) * lowerBound(to, i)
	}
	if v.Wakeups == 0 {
		return
	}
	v.MeanWait = seconds(sum / float64(v.Wakeups))
	longer := uint64(0)
	for i := len(counts) - 1; i >= 0; i-- {
		if longer += counts[i]; longer*10 >= v.Wakeups {
			v.LongWait = seconds(lowerBound(to, i))
			return
		}
	}
}

func lowerBound(h *metrics.Float64Histogram, bucket int) float64 {
	if b := h.Buckets[bucket]; !math.IsInf(b, 0) {
		return b
	}
	return 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Short reports whether the process lacked processor time.
func (v *Interval) Short() bool { return v.MeanWait >= shortWait }

// fields returns the fields of a log line: for each kind of work that was done, its milliseconds and its count.
func (v *Interval) fields() logrus.Fields {
	f := logrus.Fields{
		"interval-ms": v.Length.Milliseconds(), "wait-ms": ms(v.MeanWait), "long-wait-ms": ms(v.LongWait), "wakeups": v.Wakeups,
		"busy-percent": math.Round(100 * v.Busy), "collecting-percent": math.Round(100 * v.Collecting),
	}
	if n := v.Orders.Count; n > 0 {
		f["orders"], f["order-queue-ms"] = n, ms(v.Orders.Time/time.Duration(n))
	}
	for i, w := range v.Work {
		if name := Kind(i).String(); w.Count > 0 {
			f[name+"-ms"], f[name+"-count"] = ms(w.Time), w.Count
		}
	}
	return f
}

func ms(d time.Duration) float64 { return math.Round(float64(d)/float64(time.Millisecond)*10) / 10 }

// shortage decides when lines on a lack of processor time are due. Its zero value is ready for use.
type shortage struct {
	since    time.Time // zero if there is none
	loggedAt time.Time
}

// next reports which line is due after an interval that ended now: that the process is short of processor time, or that
// it no longer is.
func (s *shortage) next(now time.Time, short bool) (begins, ends bool) {
	switch {
	case short && s.since.IsZero():
		s.since, s.loggedAt = now, now
		return true, false
	case short && now.Sub(s.loggedAt) >= repeatInterval:
		s.loggedAt = now
		return true, false
	case !short && !s.since.IsZero():
		s.since = time.Time{}
		return false, true
	}
	return false, false
}

// Watch logs when the process lacks processor time, and what it spends its time on, until the context ends.
func Watch(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	var s shortage
	last := TakeSample(time.Now())
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		sample := TakeSample(time.Now())
		v := Between(last, sample)
		last = sample
		since := s.since
		switch begins, ends := s.next(sample.At, v.Short()); {
		case begins:
			logrus.WithFields(v.fields()).Warn("entry is short of processor time")
		case ends:
			logrus.WithField("for-ms", sample.At.Sub(since).Milliseconds()).Info("entry has enough processor time again")
		}
	}
}
