package blame

// rateJobs is the number of a queue's latest jobs that its rate reflects.
const rateJobs = 100

// Rate is the share of a queue's latest jobs that were given up because a task crashed VMs. Such jobs often
// share a cause, and with it the queue. The zero value is that of a queue without any.
type Rate struct {
	begun, deadly float64 // decaying sums over the jobs that have begun
}

// Begin counts a job that begins.
func (r *Rate) Begin() {
	const decay = 1 - 1.0/rateJobs
	r.begun, r.deadly = r.begun*decay+1, r.deadly*decay
}

// GiveUp counts a job that is given up.
func (r *Rate) GiveUp() { r.deadly++ }

// Chance returns the chance that the queue's next job has a task that crashes VMs. It is low while few jobs are
// known.
func (r *Rate) Chance() float64 {
	const few = 20 // jobs
	return r.deadly / (r.begun + few)
}
