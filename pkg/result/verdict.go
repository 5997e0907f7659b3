// Package result defines how a request ended: the verdict, which alone decides whether a
// non-idempotent request may be attempted again, and the problem document that reports it
// to the caller. Backend servers and entries send the verdict in a header; the proxy
// combines the verdicts of a request's attempts and answers the caller with the result.
package result

//go:generate ../../.bin/enumer -type=Verdict -transform=kebab -json -output=verdict_enumer.go

// Verdict says whether a request may have run on a backend server.
type Verdict int

// Verdicts on a request or on one of its attempts. The zero value is MayHaveRun, so that a
// verdict that was not set never allows a second run.
const (
	MayHaveRun Verdict = iota // sent to a backend server; whether it ran is unknown
	NotRun                    // did not start on any backend server
	Ran                       // started, and the backend server's answer is known
)

// Names of the HTTP headers that entries, callers and backend servers exchange.
// VerdictHeader is set on every answer of an entry to a caller. The headers up to
// PriorityHeader are part of a caller's request; an entry sends the key, the remaining time,
// the pool and its own name to the backend server.
const (
	VerdictHeader        = "Greengagelane-Verdict"
	IdempotencyKeyHeader = "Idempotency-Key"
	ServiceHeader        = "Greengagelane-Service"
	TimeoutHeader        = "Greengagelane-Timeout-Ms"
	PriorityHeader       = "Greengagelane-Priority"
	PoolHeader           = "Greengagelane-Pool"
	EntryHeader          = "Greengagelane-Entry"
)

// MayRetry reports whether another attempt is allowed. A non-idempotent request must run
// at most once.
func (v Verdict) MayRetry(idempotent bool) bool {
	return idempotent || v == NotRun
}
