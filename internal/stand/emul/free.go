package emul

import (
	"maps"
	"slices"
	"time"
)

// Free returns the VM's free capacity, in thousandths of a core and MB, and the tasks that run there.
func (w *Worker) Free() (cpu, memMB int, tasks []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cpu() - w.usedCPU, vmMemMB - w.usedMemMB, slices.Collect(maps.Keys(w.running))
}

// DisturbedAt returns when a VM last crashed, or came back after a crash.
func (p *Platform) DisturbedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.disturbedAt
}
