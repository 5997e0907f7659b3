package shed

import "time"

// Supply is the capacity that a pool has and is about to get.
type Supply struct {
	Cores    float64   // in service, without those of long-running tasks
	Free     float64   // cores among them that are idle
	Arrivals []Arrival // earliest first
}

// Arrival is capacity that joins a pool.
type Arrival struct {
	After time.Duration // from now
	Cores float64
}

// longestWait is the result of Wait for work that the pool never gets to.
const longestWait = time.Hour

// Wait returns the time until the pool has begun the given work, in core-seconds, whose tasks take
// taskTime. A full pool begins work at the rate at which it ends some; idle cores begin it at once.
func (s *Supply) Wait(work float64, taskTime time.Duration) time.Duration {
	work -= s.Free * taskTime.Seconds()
	if work <= 0 {
		return 0
	}
	cores, at := s.Cores, time.Duration(0)
	for _, a := range s.Arrivals {
		step := a.After - at
		done := cores * step.Seconds()
		if done >= work {
			break
		}
		work -= done
		at, cores = a.After, cores+a.Cores
		work -= a.Cores * taskTime.Seconds() // new cores are idle
		if work <= 0 {
			return at
		}
	}
	if cores <= 0 {
		return longestWait
	}
	return min(at+time.Duration(work/cores*float64(time.Second)), longestWait)
}

// Scaled returns a part of the supply, such as the share of an account.
func (s *Supply) Scaled(part float64) *Supply {
	scaled := &Supply{Cores: part * s.Cores, Free: part * s.Free}
	for _, a := range s.Arrivals {
		scaled.Arrivals = append(scaled.Arrivals, Arrival{After: a.After, Cores: part * a.Cores})
	}
	return scaled
}

// Begun returns the work that the pool can begin in a time, in core-seconds of tasks that take taskTime.
func (s *Supply) Begun(d, taskTime time.Duration) float64 {
	work := s.Cores*d.Seconds() + s.Free*taskTime.Seconds()
	for _, a := range s.Arrivals {
		if a.After < d {
			work += a.Cores * (d - a.After + taskTime).Seconds()
		}
	}
	return work
}
