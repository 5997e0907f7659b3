package site

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
	NotOwner // another entry owns the partition; nothing was done
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

// Reply is the answer to a caller's job request.
type Reply struct {
	Outcome Outcome
	State   string // state of the job, for ShowJob
	Waiting int    // number of jobs in the queue that have not started, for CountWaiting
	RetryMS int64  // delay before the caller should retry, for Refused
	Reason  string // why the outcome is not OK; may be empty
}
