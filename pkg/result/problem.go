package result

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Problem is the document (RFC 9457) and the error that ends a request without
// a backend server's answer.
type Problem struct {
	Status     int           `json:"status"` // HTTP status code
	Title      string        `json:"title"`
	Verdict    Verdict       `json:"verdict"`
	RetryAfter time.Duration `json:"-"` // when to come back; more than zero on every refusal
}

// Error makes Problem an error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s)", p.Title, p.Verdict)
}

// Refuse returns the problem of a request that was not started.
func Refuse(status int, after time.Duration, format string, args ...any) *Problem {
	return &Problem{Status: status, Title: fmt.Sprintf(format, args...), Verdict: NotRun, RetryAfter: after}
}

// Unknown returns the problem of a request whose fate is not known.
func Unknown(status int, format string, args ...any) *Problem {
	return &Problem{Status: status, Title: fmt.Sprintf(format, args...), Verdict: MayHaveRun, RetryAfter: time.Second}
}

// WithEarlier returns the problem of a request whose earlier attempts ended with a
// verdict: it did not run only if none of them may have.
func (p *Problem) WithEarlier(earlier Verdict) *Problem {
	if p.Verdict != NotRun || earlier == NotRun {
		return p
	}
	whole := *p
	whole.Verdict = MayHaveRun
	return &whole
}

// Write answers w with the problem document.
func (p *Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(VerdictHeader, p.Verdict.String())
	if p.RetryAfter > 0 {
		seconds := int(math.Ceil(p.RetryAfter.Seconds()))
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
