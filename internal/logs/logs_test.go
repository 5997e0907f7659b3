package logs

import (
	"testing"

	"gotest.tools/v3/assert"
)

// blockedOutput is a writer that blocks until it is released.
type blockedOutput struct{ release chan struct{} }

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// An output that blocks, such as a full pipe, must not block the code that logs: lines beyond the
// buffer are dropped and counted.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := &writer{lines: make(chan []byte, bufferLines)}
	quit, done := make(chan struct{}), make(chan struct{})
	go w.run(out, quit, done)
	for range bufferLines + 100 {
		n, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	// The writing goroutine may have taken one line out of the buffer.
	assert.Assert(t, w.dropped.Load() >= 99, "dropped %d", w.dropped.Load())
	close(out.release)
	close(quit)
	<-done
}
