// Package result says how a request ended: the verdict that alone decides
// whether another attempt is allowed, and the problem document that carries it
// to the caller.
package result

//go:generate ../../.bin/enumer -type=Verdict -transform=kebab -json -output=verdict_enumer.go

// Verdict says whether a request may have run on a backend server.
type Verdict int

// The zero value is the cautious one, so that a forgotten verdict never allows
// a second run.
const (
	MayHaveRun Verdict = iota // it was sent and its fate is unknown
	NotRun                    // it certainly never started
	Ran                       // it certainly started; its answer is known
)

// Header names of the verdict on every answer that an entry makes itself.
const (
	VerdictHeader        = "Greengagelane-Verdict"
	IdempotencyKeyHeader = "Idempotency-Key"
	ServiceHeader        = "Greengagelane-Service"
	TimeoutHeader        = "Greengagelane-Timeout-Ms"
	PriorityHeader       = "Greengagelane-Priority"
	PoolHeader           = "Greengagelane-Pool"
	EntryHeader          = "Greengagelane-Entry"
)

// MayRetry reports whether a further attempt keeps the promise that a
// non-idempotent request runs at most once.
func (v Verdict) MayRetry(idempotent bool) bool {
	return idempotent || v == NotRun
}
