package moves

import (
	"sort"
	"time"

	"github.com/greengagelane/greengagelane/pkg/site"
)

// AddWave takes over a wave that was asked for at a time; done are machines whose
// maintenance has begun under an earlier planner.
func (p *Planner) AddWave(began time.Time, w site.Wave, done []string) {
	if p.waves[w.Number] != nil {
		return
	}
	x := &wave{Wave: w, from: began, done: map[string]bool{}}
	for _, m := range done {
		x.done[m] = true
	}
	p.waves[w.Number] = x
}

// WaveState says how far a wave is.
type WaveState struct {
	Number    int64
	Started   []string // machines whose maintenance has begun
	Completed bool     // that of every machine that the inventory holds
}

// WaveStates returns the state of each wave.
func (p *Planner) WaveStates(v *View) []WaveState {
	held := map[string]bool{}
	for i := range v.Machines {
		held[v.Machines[i].Name] = true
	}
	var list []WaveState
	for _, w := range p.waves {
		s := WaveState{Number: w.Number, Completed: len(v.Machines) > 0}
		for _, m := range w.Machines {
			if w.done[m] {
				s.Started = append(s.Started, m)
			} else if held[m] {
				s.Completed = false
			}
		}
		list = append(list, s)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Number < list[k].Number })
	return list
}

// inWave counts the machines of a wave that are, or may be, away for it.
func (p *Planner) inWave(st *state, w *wave) int {
	n := 0
	for _, name := range w.Machines {
		m, in := st.all[name], p.intents[name]
		switch {
		case in != nil && in.Kind == Maintain && in.Wave == w.Number && in.sent:
			n++
		case m != nil && m.State == site.InMaintenance:
			n++
		}
	}
	return n
}

func (p *Planner) mayMaintain(st *state, number int64) bool {
	w := p.waves[number]
	return w != nil && p.inWave(st, w) < w.AtOnce
}

// planWaves cordons the next machines of each wave: idle ones at once, busy ones as
// the time that is left requires.
func (p *Planner) planWaves(st *state) {
	for _, w := range p.waves {
		p.planWave(st, w)
	}
}

func (p *Planner) planWave(st *state, w *wave) {
	var open []*machine
	planned := 0
	for _, name := range w.Machines {
		m := st.all[name]
		if in := p.intents[name]; in != nil {
			if in.Kind == Maintain {
				planned++
			}
			continue
		}
		if m == nil || w.done[name] || m.State != site.Up {
			continue
		}
		open = append(open, m)
	}
	sort.SliceStable(open, func(i, k int) bool { return st.before(open[i], open[k]) })
	limit := p.waveLimit(st, w, len(open)+planned)
	late := p.remaining(st, w) < waveTurn
	for _, m := range open {
		if planned >= w.AtOnce || (planned >= limit && !st.idle(m)) || !p.mayTake(st, m, late) {
			continue
		}
		p.intents[m.Name] = &intent{Order: Order{Kind: Maintain, Machine: m.Name, Wave: w.Number}, since: st.now, fromVM: m.VM}
		planned++
	}
}

// waveTurn is the time to empty a machine with a few tasks that last, to maintain it
// and to take it back.
const waveTurn = 5 * time.Second

// remaining returns the time that is left of a wave, less the reserve for machines
// that empty slowly.
func (p *Planner) remaining(st *state, w *wave) time.Duration {
	total := time.Duration(w.WithinMS) * time.Millisecond
	return total - time.Duration(p.policy.WaveReserve*float64(total)) - st.now.Sub(w.from)
}

// waveLimit returns how many machines are to be away together so that the wave ends
// in time.
func (p *Planner) waveLimit(st *state, w *wave, left int) int {
	remaining := p.remaining(st, w)
	if remaining < waveTurn {
		return w.AtOnce
	}
	need := int(float64(left)/(float64(remaining)/float64(waveTurn))) + 1
	return min(need, w.AtOnce)
}

// idle reports whether a machine's maintenance disturbs nothing.
func (st *state) idle(m *machine) bool {
	return st.pools[m.Pool].Spare || (m.use != nil && m.use.Runs == 0)
}

// before orders the machines of a wave: idle ones, then those that take longest to
// empty, since tasks that last leave one after the other.
func (st *state) before(a, b *machine) bool {
	if x, y := st.idle(a), st.idle(b); x != y {
		return x
	}
	if a.use == nil || b.use == nil {
		return a.use != nil && b.use == nil
	}
	if a.use.Lasting != b.use.Lasting {
		return a.use.Lasting > b.use.Lasting
	}
	return a.use.Runs < b.use.Runs
}

// mayTake reports whether a pool can spare a machine for maintenance now. Machines on
// their way into the pool do not count as away, and a late wave is not held up by the
// share.
func (p *Planner) mayTake(st *state, m *machine, late bool) bool {
	if st.pools[m.Pool].Spare {
		return true
	}
	if m.use == nil {
		return false
	}
	total, away := 0, 0
	for i := range st.view.Machines {
		x := &st.view.Machines[i]
		if x.Pool != m.Pool || x.State == site.Moving {
			continue
		}
		total++
		if x.State != site.Up || p.intents[x.Name] != nil {
			away++
		}
	}
	return late || away < max(1, int(p.policy.Share*float64(total)))
}
