package blame

import (
	"math"
	"time"
)

// ageClasses is the number of classes that Ages tells apart: each covers twice the time of the one before.
const ageClasses = 16

// Ages are the ages at which tasks crash their VMs, learnt from the jobs that were proved to do so. Tasks that
// crash VMs often share a cause, and so the age. The zero value expects crashes soon after the start of a run.
type Ages struct {
	count [ageClasses]float64 // decaying
	total float64
}

// Add adds the age of a run that crashed its VM.
func (a *Ages) Add(age time.Duration) {
	const (
		decay    = 0.95 // a crash; about the last 20 count
		neighbor = 0.25 // of a crash; ages are known to some tens of milliseconds only
	)
	for i := range a.count {
		a.count[i] *= decay
	}
	a.total = a.total*decay + 1
	class := ageClass(age)
	a.count[class] += 1 - 2*neighbor
	a.count[max(class-1, 0)] += neighbor
	a.count[min(class+1, ageClasses-1)] += neighbor
}

// weight returns how likely a task that crashes VMs does so at an age, per second. Before any is known, half of
// such tasks are expected to do so within 150 ms, and a tenth after 5 s.
func (a *Ages) weight(age time.Duration) float64 {
	age = max(age, 0)
	prior := math.Sqrt(ageUnit.Seconds()) / math.Pow((age+ageUnit).Seconds(), 1.5)
	return prior * (1 + ageClasses*a.count[ageClass(age)]) / (1 + a.total)
}

// Certain reports whether a run that crashes its VM at the given age would be the only likely cause there, by the
// ages that the VM's other runs would then have.
func (a *Ages) Certain(age time.Duration, others []time.Duration) bool {
	own := a.weight(age)
	sum := own
	for _, x := range others {
		sum += a.weight(x)
	}
	return own >= certainShare*sum
}

func ageClass(age time.Duration) int {
	return min(int(math.Log2(float64(age+ageUnit)/float64(ageUnit))), ageClasses-1)
}
