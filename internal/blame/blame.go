// Package blame finds the tasks that crash the VMs that run them.
//
// It answers loads in which a few tasks in a hundred end every VM that starts them, together with the runs
// of all other tasks there. One crash does not tell which run caused it, so the jobs on the VM share the
// blame: by how soon after a start the VM crashed, and by earlier crashes. A suspect is tried again where a
// crash takes least with it, so that a second crash tells more. A job is given up once one of its tasks has
// crashed a VM again and hardly any other job explains that; a task that outlives the age at which its VM
// crashed is cleared.
//
// Losses with a known cause, such as that of a rack, say little about the tasks there, and that of a VM that
// leaves says nothing. All but the latter count towards a limit after which a task is not started again, until a
// run of it has lived for ForgetAfter: several tasks that crash their VMs at once look like the loss of a rack.
//
// The package uses no clock and no network. Package sched calls it.
package blame

import (
	"cmp"
	"slices"
	"time"
)

const (
	baseChance     = 0.01                  // that a job without evidence against it crashes VMs
	maxChance      = 0.95                  // however much evidence there is against a job
	ageUnit        = 50 * time.Millisecond // ages below are not told apart: orders and reports take about as long
	otherCauses    = 0.003                 // weight of causes other than a task: about that of a job without evidence against it after 0.8 s
	suspectShare   = 0.1                   // of the blame for a crash, from which a job is a suspect: of 10 runs of equal age, each is
	certainShare   = 0.9                   // of the blame for a crash, from which no other job explains it
	uncertainShare = 0.85                  // largest share of a job that the ages of the runs do not single out
	crashesToProve = 2                     // crashes under one task, each likely by it, that may prove it the cause
	maxCrashes     = 3                     // crashes under one task, one likely by it, after which its job is given up without proof
	maxUnlikely    = 5                     // crashes under one task after which its job is given up in any case: the platform allows two starts after the third
	maxDoubtful    = 4                     // crashes under one task, some of which may not have happened under it, after which its job is given up; one less than maxUnlikely, as one may be lost with the owner that saw it
	maxLasting     = 4                     // crashes on the record of a long-running task after which it is not started again; one less, as one may be lost with the owner that saw it
)

const (
	// ForgetAfter is the age at which a run of a task shows that earlier crashes under the task had other causes.
	ForgetAfter = 10 * time.Second
	// MaxAge is the age of a run from which a crash of its VM is no evidence against the task.
	MaxAge = 10 * time.Minute
)

// Job is a job with runs on a VM that has crashed.
type Job struct {
	Age    time.Duration // of its youngest run there
	Chance float64       // Record.Chance of its tasks, the highest
}

// Split returns the share of each job in the blame for a crash. A run that causes a crash does so soon after
// its start, while the others are of any age, and VMs crash for other causes at any time: the shares sum to
// less than 1. Earlier evidence alone makes no share certain, since another task that crashes VMs may have been
// started on the same one.
func Split(list []Job, ages *Ages) []float64 {
	shares, byAge := make([]float64, len(list)), make([]float64, len(list))
	sum, sumByAge := otherCauses, 0.0
	for i := range list {
		chance := min(max(list[i].Chance, baseChance), maxChance)
		byAge[i] = ages.weight(list[i].Age)
		shares[i] = byAge[i] * chance / (1 - chance)
		sum += shares[i]
		sumByAge += byAge[i]
	}
	for i := range shares {
		shares[i] /= sum
		if byAge[i] < certainShare*sumByAge {
			shares[i] = min(shares[i], uncertainShare)
		}
	}
	return shares
}

// Likely reports whether a job with a share of the blame for a crash is likely to have caused it.
func Likely(share float64) bool { return share >= suspectShare }

// Crash is a crash of a VM as evidence against a task that it ran.
type Crash struct {
	VM    string
	Born  int64         // start of the VM's incarnation, Unix milliseconds
	Age   time.Duration // of the task's run
	Share float64       // of the task's job in the blame
	// Unconfirmed is set if the VM had not confirmed the run: it may not have begun it. Such a crash proves nothing.
	Unconfirmed bool
	// Lapsed is set if the VM's leases had run out when its loss became known: it may have been cut off, and the run may
	// have ended with its lease. Such a crash proves nothing.
	Lapsed bool
}

// doubtful reports whether the crash may not have happened under the task.
func (c *Crash) doubtful() bool { return c.Unconfirmed || c.Lapsed }

// Record is the evidence against a task: the crashes of VMs while they ran it. The zero value is that of a
// task without any.
type Record []Crash

// Chance returns the chance that the task crashes VMs.
func (r Record) Chance() float64 {
	innocent := 1.0
	for i := range r {
		innocent *= 1 - r[i].Share
	}
	return 1 - innocent
}

// Suspect reports whether the task is to be run apart from the tasks of other jobs.
func (r Record) Suspect() bool { return r.count(suspectShare) > 0 || len(r) >= crashesToProve }

// Likely reports whether the task is likely to have caused one of the crashes.
func (r Record) Likely() bool { return r.countCertain(suspectShare) > 0 }

//go:generate ../../.bin/enumer -type=Verdict -transform=kebab -output=verdict_enumer.go

// Verdict says whether a job is given up because of one of its tasks.
type Verdict int

// Verdicts.
const (
	None      Verdict = iota
	Proved            // VMs crashed under the task, and no other job explains it
	Exhausted         // too many VMs crashed under the task, whichever run was the cause
)

// Verdict returns whether the task's job is given up. cleared is the number of crashes that the record no
// longer holds.
func (r Record) Verdict(cleared int) Verdict {
	likely, happened := r.countCertain(suspectShare), r.countCertain(0)
	switch {
	case r.proved():
		return Proved
	case len(r) >= maxCrashes && likely > 0 && happened >= crashesToProve:
		return Exhausted
	case happened < len(r) && len(r) >= maxDoubtful, len(r)+cleared >= maxUnlikely:
		return Exhausted
	}
	return None
}

// LastingVerdict is Verdict for a long-running task. It runs on many VMs over its life and is missed while it
// does not run, so without proof there have to be many crashes.
func (r Record) LastingVerdict(cleared int) Verdict {
	switch {
	case r.proved():
		return Proved
	case len(r) >= maxLasting, len(r)+cleared >= maxUnlikely:
		return Exhausted
	}
	return None
}

// LastStart reports whether one more crash under a long-running task ends its starts.
func (r Record) LastStart(cleared int) bool {
	return len(r) > 0 && (len(r)+1 >= maxLasting || len(r)+cleared+1 >= maxUnlikely)
}

// proved reports whether the task is likely to have caused two crashes, and certain to have caused one of them.
func (r Record) proved() bool {
	return r.countCertain(suspectShare) >= crashesToProve && r.countCertain(certainShare) > 0
}

// Unconfirmed reports whether the task may not have run on one of the VMs that crashed.
func (r Record) Unconfirmed() bool {
	return slices.ContainsFunc(r, func(c Crash) bool { return c.Unconfirmed })
}

// countCertain returns the number of crashes that certainly happened under the task, with at least the given
// share of the blame.
func (r Record) countCertain(share float64) int {
	n := 0
	for i := range r {
		if r[i].Share >= share && !r[i].doubtful() {
			n++
		}
	}
	return n
}

// count returns the number of crashes with at least the given share of the blame.
func (r Record) count(share float64) int {
	n := 0
	for i := range r {
		if r[i].Share >= share {
			n++
		}
	}
	return n
}

// SoonestAge returns the shortest age of the task's runs at a crash.
func (r Record) SoonestAge() time.Duration {
	if len(r) == 0 {
		return 0
	}
	return slices.MinFunc(r, func(a, b Crash) int { return cmp.Compare(a.Age, b.Age) }).Age
}

// ClearedAfter returns the age that a run of the task has to reach to clear it: twice that of the run that
// lived longest before a crash.
func (r Record) ClearedAfter() time.Duration {
	var age time.Duration
	for i := range r {
		age = max(age, r[i].Age)
	}
	return 2*age + ageUnit
}

// Has reports whether the record holds the crash of an incarnation of a VM.
func (r Record) Has(vm string, born int64) bool {
	return slices.ContainsFunc(r, func(c Crash) bool { return c.VM == vm && c.Born == born })
}

// Explained returns the record after a crash has turned out to have another cause, such as another job or the
// loss of a rack. It counts on as one without blame: it may have had two causes, and the task must not be
// started without end.
func (r Record) Explained(vm string, born int64) Record {
	explained := slices.Clone(r)
	for i := range explained {
		if c := &explained[i]; c.VM == vm && c.Born == born {
			c.Share = 0
		}
	}
	return explained
}

// Confirmed returns the record after a VM that crashed has turned out to have begun the run.
func (r Record) Confirmed(vm string, born int64) Record {
	confirmed := slices.Clone(r)
	for i := range confirmed {
		if c := &confirmed[i]; c.VM == vm && c.Born == born {
			c.Unconfirmed = false
		}
	}
	return confirmed
}

// Without returns the record without the crash of an incarnation of a VM, which has turned out not to have
// ended.
func (r Record) Without(vm string, born int64) Record {
	var kept Record
	for _, c := range r {
		if c.VM != vm || c.Born != born {
			kept = append(kept, c)
		}
	}
	return kept
}
