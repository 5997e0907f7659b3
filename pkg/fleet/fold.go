package fleet

import (
	"fmt"
	"hash/fnv"
)

const (
	// ClaimRetentionMs is how long, in milliseconds, an entry keeps a claim on a request id
	// after it has granted the claim (see package claim). Past memberships are retained for
	// the same time, since their members may still keep such claims.
	ClaimRetentionMs = 120_000
	// maxRememberedOps is the maximum number of recent operation ids in the state, by which
	// duplicates of a record are recognised.
	maxRememberedOps = 4096
)

// LogRecord is a record as read from the platform's log.
type LogRecord struct {
	Offset      int64
	TimeMs      int64 // platform time of the append, Unix milliseconds
	OperationID string
	Data        string
}

// Outcome is the result of folding a record.
type Outcome struct {
	Offset  int64
	Record  Record // nil if the record is a duplicate or could not be decoded
	Applied bool
	Reason  string // why the record was skipped; empty if it was applied
}

// Fold applies the record at offset s.Next. It is deterministic: the result depends
// only on the state and the record. A record whose operation id is among the last
// maxRememberedOps ones is a duplicate and is skipped.
func (s *State) Fold(rec LogRecord) Outcome {
	s.Next = rec.Offset + 1
	s.TimeMs = max(s.TimeMs, rec.TimeMs)
	if first, ok := s.Ops[rec.OperationID]; ok {
		reason := fmt.Sprintf("operation %q was already folded at offset %d", rec.OperationID, first)
		return Outcome{Offset: rec.Offset, Reason: reason}
	}
	s.recordOp(rec)
	r, err := Decode(rec.Data)
	if err != nil {
		return Outcome{Offset: rec.Offset, Reason: err.Error()}
	}
	if err := s.Apply(rec.Offset, r); err != nil {
		return Outcome{Offset: rec.Offset, Record: r, Reason: err.Error()}
	}
	return Outcome{Offset: rec.Offset, Record: r, Applied: true}
}

func (s *State) recordOp(rec LogRecord) {
	s.Ops[rec.OperationID] = rec.Offset
	s.OpOrder = append(s.OpOrder, rec.OperationID)
	if len(s.OpOrder) > maxRememberedOps {
		delete(s.Ops, s.OpOrder[0])
		s.OpOrder = s.OpOrder[1:]
	}
}

// Apply applies one decoded record. It changes the state only if it returns nil.
func (s *State) Apply(offset int64, r Record) error {
	switch r := r.(type) {
	case ReleasePublished:
		return s.applyNote(offset, r.Note)
	case EntryJoined:
		return s.applyJoined(offset, r)
	case EntryLeft:
		return s.applyLeft(offset, r)
	case EntryRetired:
		return s.applyRetired(offset, r)
	case LeaseTaken:
		return s.applyLeaseTaken(r)
	case LeaseReleased:
		return s.applyLeaseReleased(r)
	case MoveStarted:
		return s.applyMoveStarted(offset, r)
	case MoveFinished:
		return s.applyMoveFinished(offset, r)
	case WaveStarted:
		return s.applyWaveStarted(r)
	case WavePauseAsked:
		return s.applyWavePaused(r)
	case MaintenanceStarted:
		return s.applyMaintenanceStarted(offset, r)
	case MaintenanceFinished:
		return s.applyMaintenanceFinished(offset, r)
	case MaintenanceFailed:
		return s.applyMaintenanceFailed(offset, r)
	default:
		return fmt.Errorf("record type %T is not supported", r)
	}
}

// ShardOf returns the control shard that a pool belongs to.
func ShardOf(pool string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(pool))
	return int(h.Sum32() % ShardCount)
}

// checkFence returns an error unless the fence names the pool's shard and the epoch of
// the lease that is held on it.
func (s *State) checkFence(pool string, by Fence) error {
	shard := ShardOf(pool)
	lease := s.Leases[shard]
	if by.Shard != shard || by.Epoch == 0 || by.Epoch != lease.Epoch || lease.Holder == "" {
		return fmt.Errorf("fence (epoch %d, shard %d) does not match a held lease: the lease on shard %d of pool %q is at epoch %d",
			by.Epoch, by.Shard, shard, pool, lease.Epoch)
	}
	return nil
}

// checkCanLeaveService returns an error if the VM is not serving or if fewer VMs than
// its pool's availability budget would serve without it.
func (s *State) checkCanLeaveService(vm VM) error {
	if vm.Phase != Serving {
		return fmt.Errorf("VM %q is in phase %s, not serving", vm.Name, vm.Phase)
	}
	_, serving := s.PoolCount(vm.Pool)
	need := s.MinServing(vm.Pool)
	if serving-1 < need {
		return fmt.Errorf("pool %q has %d VMs serving, its availability budget is %d", vm.Pool, serving, need)
	}
	return nil
}

func (s *State) findVM(name string) (VM, error) {
	vm, ok := s.VMs[name]
	if !ok {
		return VM{}, fmt.Errorf("VM %q does not exist", name)
	}
	return vm, nil
}

// applyMoveStarted takes a VM out of service for a move. A zero fence marks an operator's
// command, which needs no lease.
func (s *State) applyMoveStarted(offset int64, r MoveStarted) error {
	vm, err := s.findVM(r.VM)
	if err != nil {
		return err
	}
	if vm.Pool != r.From {
		return fmt.Errorf("VM %q is in pool %q, not in pool %q", r.VM, vm.Pool, r.From)
	}
	if _, ok := s.Pools[r.To]; !ok || r.To == r.From {
		return fmt.Errorf("VM %q cannot move from pool %q to pool %q", r.VM, r.From, r.To)
	}
	if r.By != (Fence{}) {
		if err := s.checkFence(r.From, r.By); err != nil {
			return err
		}
	}
	if err := s.checkCanLeaveService(vm); err != nil {
		return err
	}
	vm.Phase, vm.Since, vm.MoveTo = Moving, offset, r.To
	s.setVM(vm)
	return nil
}

// applyMoveFinished puts a moved VM into service. The VM stays in its pool if a release
// has withdrawn the target pool in the meantime.
func (s *State) applyMoveFinished(offset int64, r MoveFinished) error {
	vm, err := s.findVM(r.VM)
	if err != nil {
		return err
	}
	if vm.Phase != Moving {
		return fmt.Errorf("VM %q is in phase %s, not moving", r.VM, vm.Phase)
	}
	if err := s.checkFence(vm.Pool, r.By); err != nil {
		return err
	}
	if _, ok := s.Pools[vm.MoveTo]; ok {
		vm.Pool = vm.MoveTo
	}
	vm.Phase, vm.Since, vm.MoveTo = Serving, offset, ""
	s.setVM(vm)
	return nil
}

func (s *State) applyLeaseTaken(r LeaseTaken) error {
	if r.Shard < 0 || r.Shard >= ShardCount {
		return fmt.Errorf("shard %d does not exist", r.Shard)
	}
	lease := s.Leases[r.Shard]
	if r.Epoch != lease.Epoch+1 {
		return fmt.Errorf("shard %d is at epoch %d; epoch %d is not the next one", r.Shard, lease.Epoch, r.Epoch)
	}
	if lease.Holder != "" && s.IsMember(lease.Holder) {
		return fmt.Errorf("the lease on shard %d is held by incarnation %q, which is a member", r.Shard, lease.Holder)
	}
	if !s.IsMember(r.Holder) {
		return fmt.Errorf("incarnation %q is not a member", r.Holder)
	}
	s.Leases[r.Shard] = Lease{Holder: r.Holder, Epoch: r.Epoch}
	return nil
}

func (s *State) applyLeaseReleased(r LeaseReleased) error {
	lease := s.Leases[r.Shard]
	if lease.Holder == "" || r.Epoch != lease.Epoch {
		return fmt.Errorf("shard %d is at epoch %d; its lease is not held at epoch %d", r.Shard, lease.Epoch, r.Epoch)
	}
	s.Leases[r.Shard] = Lease{Epoch: lease.Epoch}
	return nil
}
