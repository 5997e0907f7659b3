package drive

import (
	"sync"
	"time"
)

// lineLimit limits the log lines of one kind per second. Its zero value is ready for use.
type lineLimit struct {
	mu         sync.Mutex
	second     int64 // Unix time of the second that written counts for
	written    int
	suppressed int // since the last line
}

// allow reports whether a line may be written, and how many were not since the last one.
func (l *lineLimit) allow(now time.Time, perSecond int) (ok bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Unix() != l.second {
		l.second, l.written = now.Unix(), 0
	}
	if l.written >= perSecond {
		l.suppressed++
		return false, 0
	}
	l.written++
	suppressed, l.suppressed = l.suppressed, 0
	return true, suppressed
}
