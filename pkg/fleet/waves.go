package fleet

import (
	"fmt"
	"slices"
)

func (s *State) applyWaveStarted(r WaveStarted) error {
	w, ok := s.Waves[r.Wave]
	if !ok {
		return fmt.Errorf("wave %q does not exist", r.Wave)
	}
	if w.State == WaveRunning || w.State == WaveDone {
		return fmt.Errorf("wave %q is already %s", r.Wave, w.State)
	}
	if w.State == WaveHalted {
		w.Failed = 0
	}
	w.State, w.Reason = WaveRunning, "started by an operator"
	s.Waves[r.Wave] = w
	return nil
}

func (s *State) applyWavePaused(r WavePauseAsked) error {
	w, ok := s.Waves[r.Wave]
	if !ok || w.State != WaveRunning {
		return fmt.Errorf("wave %q is not running", r.Wave)
	}
	w.State, w.Reason = WavePaused, "paused by an operator"
	s.Waves[r.Wave] = w
	return nil
}

func (s *State) applyMaintenanceStarted(offset int64, r MaintenanceStarted) error {
	vm, err := s.findVM(r.VM)
	if err != nil {
		return err
	}
	if err := s.checkFence(vm.Pool, r.By); err != nil {
		return err
	}
	if err := s.CheckMaintenance(r.VM, r.Wave); err != nil {
		return err
	}
	vm.Phase, vm.Since, vm.Wave = Maintenance, offset, r.Wave
	s.setVM(vm)
	return nil
}

// CheckMaintenance returns an error if a wave may not take a VM out of service now.
func (s *State) CheckMaintenance(name, wave string) error {
	vm, err := s.findVM(name)
	if err != nil {
		return err
	}
	w := s.Waves[wave]
	if err := s.checkInWave(vm, w); err != nil {
		return err
	}
	if err := s.checkCanLeaveService(vm); err != nil {
		return err
	}
	return s.checkWaveLimits(vm, w)
}

// checkInWave returns an error if the wave is not running, does not cover the VM, or has
// already maintained it.
func (s *State) checkInWave(vm VM, w Wave) error {
	if w.State != WaveRunning {
		return fmt.Errorf("wave %q is not running", w.Name)
	}
	if !slices.Contains(w.Pools, vm.Pool) {
		return fmt.Errorf("VM %q of pool %q is not part of wave %q", vm.Name, vm.Pool, w.Name)
	}
	if vm.Maintained == w.Name {
		return fmt.Errorf("VM %q has already been maintained by wave %q", vm.Name, w.Name)
	}
	return nil
}

// checkWaveLimits returns an error if VMs of the pool are in maintenance in another data
// centre, or if the wave has reached its limit of VMs in maintenance at once. The first rule
// keeps a pool's maintenance within one failure domain.
func (s *State) checkWaveLimits(vm VM, w Wave) error {
	for dc, n := range s.counts[vm.Pool].maintenance {
		if n > 0 && dc != vm.DataCentre {
			return fmt.Errorf("pool %q has %d VMs in maintenance in data centre %q", vm.Pool, n, dc)
		}
	}
	n := 0
	for _, pool := range w.Pools {
		if c := s.counts[pool]; c != nil {
			for _, inDataCentre := range c.maintenance {
				n += inDataCentre
			}
		}
	}
	if n >= w.AtOnce {
		return fmt.Errorf("wave %q has reached its limit with %d VMs in maintenance", w.Name, n)
	}
	return nil
}

func (s *State) applyMaintenanceFinished(offset int64, r MaintenanceFinished) error {
	vm, err := s.findVM(r.VM)
	if err != nil {
		return err
	}
	if vm.Phase != Maintenance && vm.Phase != Failed {
		return fmt.Errorf("VM %q is in phase %s, neither in maintenance nor failed", r.VM, vm.Phase)
	}
	if err := s.checkFence(vm.Pool, r.By); err != nil {
		return err
	}
	vm.Phase, vm.Since, vm.Maintained = Serving, offset, vm.Wave
	vm.Wave, vm.LastFailure = "", ""
	s.setVM(vm)
	s.finishWave(vm.Maintained)
	return nil
}

func (s *State) applyMaintenanceFailed(offset int64, r MaintenanceFailed) error {
	vm, err := s.findVM(r.VM)
	if err != nil {
		return err
	}
	if vm.Phase != Maintenance {
		return fmt.Errorf("VM %q is in phase %s, not in maintenance", r.VM, vm.Phase)
	}
	if err := s.checkFence(vm.Pool, r.By); err != nil {
		return err
	}
	vm.Phase, vm.Since, vm.LastFailure = Failed, offset, r.Reason
	s.setVM(vm)
	w := s.Waves[vm.Wave]
	w.Failed++
	if (w.State == WaveRunning || w.State == WavePaused) && w.Failed > w.MaxFailures {
		w.State = WaveHalted
		w.Reason = fmt.Sprintf("%d VMs failed, more than %d; the last one was %q: %s", w.Failed, w.MaxFailures, vm.Name, r.Reason)
	}
	s.Waves[vm.Wave] = w
	s.finishWave(vm.Wave)
	return nil
}

// finishWave marks a running wave as done once all VMs of its pools have been maintained.
func (s *State) finishWave(name string) {
	w, ok := s.Waves[name]
	if !ok || w.State != WaveRunning {
		return
	}
	if done, total := s.WaveProgress(name); done == total {
		w.State, w.Reason = WaveDone, ""
		s.Waves[name] = w
	}
}

// WaveProgress returns how many VMs of the wave's pools it has maintained, and how many
// there are.
func (s *State) WaveProgress(name string) (done, total int) {
	w := s.Waves[name]
	for _, pool := range w.Pools {
		for vm := range s.VMsOf(pool) {
			total++
			if s.VMs[vm].Maintained == name {
				done++
			}
		}
	}
	return done, total
}
