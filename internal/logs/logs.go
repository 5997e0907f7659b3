// Package logs writes log entries as JSON lines without ever blocking the process. Lines pass
// through a bounded buffer to a goroutine that writes them to the output; lines that do not fit
// into the buffer are dropped and counted.
package logs

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/greengagelane/greengagelane/internal/usage"
)

const (
	bufferLines  = 4096
	flushTimeout = 200 * time.Millisecond // longest wait for the buffered lines to be written on stop
)

var droppedTotal = metrics.GetOrCreateCounter(`greengagelane_log_lines_dropped_total`)

// writer queues lines for the goroutine that writes the output.
type writer struct {
	lines   chan []byte
	dropped atomic.Int64 // lines that this writer dropped; droppedTotal counts those of the process
}

// Write queues a line, or drops it if the buffer is full. It never blocks.
func (w *writer) Write(line []byte) (int, error) {
	data := append([]byte(nil), line...)
	select {
	case w.lines <- data:
	default:
		w.dropped.Add(1)
		droppedTotal.Inc()
	}
	return len(line), nil
}

// Start directs the log to out, with the entry's name in each line, and returns a function that
// stops the output. That function waits at most flushTimeout for the buffered lines; lines logged
// later are not written.
func Start(out io.Writer, entry string) func() {
	w := &writer{lines: make(chan []byte, bufferLines)}
	logrus.SetFormatter(&countingFormatter{logrus.JSONFormatter{TimestampFormat: "15:04:05.000"}})
	logrus.SetOutput(w)
	logrus.AddHook(&entryHook{entry: entry})
	quit, done := make(chan struct{}), make(chan struct{})
	go w.run(out, quit, done)
	return func() {
		close(quit)
		select {
		case <-done:
		case <-time.After(flushTimeout):
		}
	}
}

// run writes the queued lines until quit is closed and the queue is empty.
func (w *writer) run(out io.Writer, quit, done chan struct{}) {
	defer close(done)
	for {
		select { // without this, select could choose a closed quit at random while lines are queued
		case line := <-w.lines:
			w.writeLine(out, line)
			continue
		default:
		}
		select {
		case line := <-w.lines:
			w.writeLine(out, line)
		case <-quit:
			return
		}
	}
}

func (w *writer) writeLine(out io.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		w.dropped.Add(1)
		droppedTotal.Inc()
	}
}

// countingFormatter counts the lines that it formats.
type countingFormatter struct{ logrus.JSONFormatter }

// Format formats a line.
func (f *countingFormatter) Format(e *logrus.Entry) ([]byte, error) {
	defer usage.Line.Since(time.Now())
	return f.JSONFormatter.Format(e)
}

// entryHook adds the entry's name to each line.
type entryHook struct{ entry string }

// Levels returns all levels, so that the hook runs for each line.
func (h *entryHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire adds the entry's name to a line.
func (h *entryHook) Fire(e *logrus.Entry) error {
	e.Data["entry"] = h.entry
	return nil
}
