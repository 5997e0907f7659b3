package moves

import "time"

// keptTimeout is the time for which a machine that cannot be emptied stays cordoned. Another machine of its pool may be
// about to return from maintenance, with which its runs may be stopped.
const keptTimeout = 2 * time.Second

// observeKept records since when machines cannot be emptied. A machine without a report keeps its time, as
// its runs are not known.
func (p *Planner) observeKept(st *state) {
	for i := range st.machines {
		m := &st.machines[i]
		switch {
		case m.report == nil:
		case !m.report.Kept:
			delete(p.keptSince, m.Name)
		case p.keptSince[m.Name].IsZero():
			p.keptSince[m.Name] = st.now
		}
	}
	for name := range p.keptSince {
		if st.machine(name) == nil {
			delete(p.keptSince, name)
		}
	}
}

// isStuck reports whether a machine could not be emptied for longer than keptTimeout, because the tasks on it may not
// become unavailable. It must not be cordoned: nothing bounds the time until they may.
func (p *Planner) isStuck(st *state, m *machine) bool {
	since := p.keptSince[m.Name]
	return !since.IsZero() && st.now.Sub(since) > keptTimeout
}
