// Package usage counts what an entry does by kind of work, with the time that it takes, and measures how long work that
// could go on waits for the processor.
package usage

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

//go:generate ../../.bin/enumer -type=Kind -transform=kebab -output=kind_enumer.go

// Kind is a kind of work.
type Kind uint8

// Kinds of work. Calls to VMs count without the time for which they wait for the answer.
const (
	Start   Kind = iota // a start order: encode, send, decode the answer and apply it
	Order               // any other order to a VM
	Poll                // a status poll: encode, send, decode the answer
	Status              // apply a status to the jobs: run ends and progress
	Round               // a round of decisions
	Record              // collect and encode changed jobs for the job log
	Request             // a caller's request at the owner of its job
	Line                // format a log line, wherever it is written
)

// counters hold what one kind of work has taken since the start of the process.
type counters struct {
	count, time atomic.Int64 // time in nanoseconds
}

var (
	work [len(_KindIndex) - 1]counters
	// orders counts the orders to VMs that were taken from their queues, with the time that they waited there.
	orders counters
)

// Since counts a piece of work that began at the given time and has just ended.
func (k Kind) Since(began time.Time) { k.Add(time.Since(began)) }

// Add counts a piece of work that took the given time.
func (k Kind) Add(took time.Duration) { work[k].add(took) }

// OrderWaited counts an order to a VM that waited for the given time in its queue.
func OrderWaited(waited time.Duration) { orders.add(waited) }

func (c *counters) add(took time.Duration) {
	c.count.Add(1)
	c.time.Add(int64(took))
}

func (c *counters) read() Work {
	return Work{Count: c.count.Load(), Time: time.Duration(c.time.Load())}
}

// Work is an amount of work.
type Work struct {
	Count int64
	Time  time.Duration // in which the process was not waiting, though it may have been without the processor
}

func (w Work) since(earlier Work) Work {
	return Work{Count: w.Count - earlier.Count, Time: w.Time - earlier.Time}
}

// WriteMetrics writes the counters in the text format of Prometheus.
func WriteMetrics(w io.Writer) {
	for _, k := range KindValues() {
		sum := work[k].read()
		fmt.Fprintf(w, "greengagelane_work_total{kind=%q} %d\n", k, sum.Count)
		fmt.Fprintf(w, "greengagelane_work_seconds_total{kind=%q} %g\n", k, sum.Time.Seconds())
	}
	waited := orders.read()
	fmt.Fprintf(w, "greengagelane_vm_orders_sent_total %d\n", waited.Count)
	fmt.Fprintf(w, "greengagelane_vm_order_queue_seconds_total %g\n", waited.Time.Seconds())
}
