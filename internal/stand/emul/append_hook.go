package emul

import (
	"net/http"
)

// appendHook is a function to call at the next append of an entry.
type appendHook struct {
	stored bool
	call   func(partition int)
}

// AtNextAppend has f called with the partition at the next append of an entry to the job topic: before the append is
// carried out or, with stored, after it and before the reply. It replaces the function of an earlier call; a nil f
// removes that.
func (p *Platform) AtNextAppend(entry string, stored bool, f func(partition int)) {
	p.cutOffMu.Lock()
	defer p.cutOffMu.Unlock()
	delete(p.appendHooks, entry)
	if f != nil {
		p.appendHooks[entry] = appendHook{stored, f}
	}
}

// takeAppendHook returns the functions to call before and after a call of an entry is carried out. Both may be nil.
func (p *Platform) takeAppendHook(entry string, r *http.Request) (before, after func()) {
	if r.URL.Path != "/v1/log-append" || r.URL.Query().Get("topic") != jobTopic {
		return nil, nil
	}
	p.cutOffMu.Lock()
	defer p.cutOffMu.Unlock()
	hook, found := p.appendHooks[entry]
	if !found {
		return nil, nil
	}
	delete(p.appendHooks, entry)
	f := func() { hook.call(int(queryInt(r, "part"))) }
	if hook.stored {
		return nil, f
	}
	return f, nil
}

// JobEpoch returns the epoch of the newest owner of a partition of the job topic.
func (s *Store) JobEpoch(partition int) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partition(jobTopic, partition).epoch
}

// Records returns the number of records of a partition of the job topic.
func (s *Store) Records(partition int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.partition(jobTopic, partition).records)
}

// Owner returns the member that a partition of the job topic is assigned to, empty if there is none.
func (s *Store) Owner(partition int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assigned[partition]
}
