package usage

import "runtime/debug"

// Limits of the collector's target: the percentage of the live heap by which the heap grows until the next collection.
const (
	leastTarget   = 100 // Go's default
	largestTarget = 400
	highShare     = 0.05 // of the processor time in collections, above which the target is raised
	lowShare      = 0.01 // below which it is lowered
	heapShare     = 0.6  // of the memory of the process, above which the heap does not grow by more than it has to
)

// Collector sets the collector's target so that collections take little processor time as long as there is memory.
type Collector struct {
	target int // 0 for one that is not set
}

// NewCollector returns a collector for a process with the given memory in MB; 0 for one that leaves the target as it is.
func NewCollector(memoryMB float64) *Collector {
	if memoryMB <= 0 {
		return &Collector{}
	}
	debug.SetMemoryLimit(int64(heapShare * memoryMB * (1 << 20)))
	return &Collector{target: leastTarget}
}

// adjust sets the target after an interval.
func (c *Collector) adjust(v *Interval) {
	if next := nextTarget(c.target, v); next != c.target {
		c.target = next
		debug.SetGCPercent(next)
	}
}

// nextTarget returns the target after an interval. One that is not set stays so, and so does any while nothing is known.
func nextTarget(target int, v *Interval) int {
	switch {
	case target == 0 || v.Busy == 0:
		return target
	case v.Collecting > highShare:
		return min(2*target, largestTarget)
	case v.Collecting < lowShare:
		return max(target/2, leastTarget)
	}
	return target
}
