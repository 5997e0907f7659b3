package site

import "github.com/greengagelane/greengagelane/pkg/jobs"

//go:generate ../../.bin/enumer -type=Outcome -transform=kebab -output=outcome_enumer.go

// Outcome is the result of a caller's job request.
type Outcome int

// Outcomes.
const (
	Undecided Outcome = iota // no answer; the request may have been carried out
	OK                       // carried out and stored in the job log
	Refused                  // not carried out and will not be; the caller may try again after RetryMS
	NoSuchJob
	NoSuchQueue
	BadRequest
	NotOwner     // another entry owns the partition; nothing was done
	Unauthorized // the request carries no key of a client account
	TooLarge     // the job log cannot hold the job
)

//go:generate ../../.bin/enumer -type=CallKind -transform=kebab -output=callkind_enumer.go

// CallKind is the kind of a caller's job request.
type CallKind int

// Kinds of job requests.
const (
	SubmitJob CallKind = iota
	CancelJob
	ShowJob
	CountWaiting
)

// Call is a caller's job request.
type Call struct {
	Kind    CallKind
	Route   *Route
	Account string    // of the caller's key; empty if the route is public or the site has no accounts
	ID      string    // of the job; empty for CountWaiting
	Job     *jobs.Job // set for SubmitJob only
}

// Reply is the answer to a caller's job request.
type Reply struct {
	Outcome  Outcome
	State    string // state of the job, for ShowJob
	Unstored bool   // the job log does not hold State yet; only owners of the version before say so
	Waiting  int    // number of jobs in the queue that have not started, for CountWaiting
	RetryMS  int64  // delay before the caller should retry, for Refused
	Reason   string // why the outcome is not OK; may be empty
}
