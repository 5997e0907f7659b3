package result

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Problem says why a request ended without a backend server's answer. Functions of the
// entry return it as an error, and the caller receives it as a problem document (RFC 9457).
type Problem struct {
	Status     int           `json:"status"` // HTTP status code
	Title      string        `json:"title"`
	Verdict    Verdict       `json:"verdict"`
	RetryAfter time.Duration `json:"-"` // delay before the caller should retry; required for a refusal; 0 omits the Retry-After header
}

// Error returns the title and the verdict.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s)", p.Title, p.Verdict)
}

// Refuse returns the problem of a request that was not started. The caller should retry
// after the delay.
func Refuse(status int, retryAfter time.Duration, format string, args ...any) *Problem {
	return &Problem{Status: status, Title: fmt.Sprintf(format, args...), Verdict: NotRun, RetryAfter: retryAfter}
}

// Unknown returns the problem of a request that may have run on a backend server.
func Unknown(status int, format string, args ...any) *Problem {
	return &Problem{Status: status, Title: fmt.Sprintf(format, args...), Verdict: MayHaveRun, RetryAfter: time.Second}
}

// WithEarlier returns the problem with its verdict combined with that of the request's
// earlier attempts. The verdict is NotRun only if it is NotRun for all attempts.
func (p *Problem) WithEarlier(earlier Verdict) *Problem {
	if p.Verdict != NotRun || earlier == NotRun {
		return p
	}
	combined := *p
	combined.Verdict = MayHaveRun
	return &combined
}

// Write writes the problem document as the response to w. The verdict states what is known at the given time.
func (p *Problem) Write(w http.ResponseWriter, now time.Time) {
	h := w.Header()
	h.Set(VerdictTimeHeader, strconv.FormatInt(now.UnixMicro(), 10))
	h.Set("Content-Type", "application/problem+json")
	h.Set(VerdictHeader, p.Verdict.String())
	if p.RetryAfter > 0 {
		seconds := int(math.Ceil(p.RetryAfter.Seconds()))
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
