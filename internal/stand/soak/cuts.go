package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

// cut is a cut that lasts. Harness.mu guards it.
type cut struct {
	inside   map[string]bool  // names of the entries that are cut off
	machines map[string]reach // which entries reach the VMs of a machine, for those that had a VM so far
	pick     func(vm *emul.Worker) reach
	paths    []*Link  // that are cut
	ends     []func() // end the cuts of other links
}

// sides are the entries that are cut off with an owner, and the others.
type sides struct {
	owner, dataCentre string // the name of the owner and its data centre
	inside, outside   []*Entry
}

// addPath cuts the path from an entry to a VM if the entry does not reach it.
func (c *cut) addPath(entry string, path *vmPath) {
	who := c.reachOf(path.vm)
	if c.inside[entry] && !who.inside || !c.inside[entry] && !who.outside {
		path.link.Cut(Upstream, Downstream)
		c.paths = append(c.paths, path.link)
	}
}

// reachOf returns which entries reach a VM.
func (c *cut) reachOf(vm *emul.Worker) reach {
	who, known := c.machines[vm.Machine]
	if !known {
		who = c.pick(vm)
		c.machines[vm.Machine] = who
	}
	return who
}

// addLink cuts a link in the given directions.
func (c *cut) addLink(l *Link, dropped bool, directions ...int) {
	l.Cut(directions...)
	if dropped {
		l.Blackhole()
	}
	c.ends = append(c.ends, func() { l.Heal(directions...) })
}

// injectCuts cuts owners off, Load.Cuts times, and returns when all cuts have ended.
func (harness *Harness) injectCuts(ctx context.Context) {
	const calm = 3 * time.Second
	r := rand.New(rand.NewPCG(harness.cfg.Seed, 8))
	harness.submitLongRunning(ctx)
	sleep(ctx, calm+randomDuration(r, 2*time.Second))
	var active sync.WaitGroup
	for n := range harness.cfg.Load.Cuts {
		p, cutRand := drawCut(&harness.cfg.Load, r), rand.New(rand.NewPCG(r.Uint64(), 0))
		harness.faultCount++
		active.Go(func() { harness.cutOff(ctx, n+1, p, cutRand) })
		sleep(ctx, p.next)
	}
	active.Wait()
	sleep(ctx, calm)
}

// cutOff cuts an owner off, has the other events of the plan happen, and heals the cut.
func (harness *Harness) cutOff(ctx context.Context, number int, p *cutPlan, r *rand.Rand) {
	var active sync.WaitGroup
	s := harness.drawSides(p.entries, r)
	harness.log("cut %d: %s of data centre %s for %s", number, s.owner, s.dataCentre, p)
	heal := harness.beginCut(number, s, p, r)
	if p.logDelay > 0 {
		defer harness.injectLogFault(func(s *emul.Store) { s.Delay = p.logDelay }, func(s *emul.Store) { s.Delay = 0 })()
	}
	if p.outage > 0 {
		outageRand := rand.New(rand.NewPCG(r.Uint64(), 0))
		active.Go(func() { harness.outageDuringCut(ctx, number, s, p, outageRand) })
	}
	for _, event := range p.events {
		eventRand := rand.New(rand.NewPCG(r.Uint64(), 0))
		active.Go(func() { harness.disturbOwner(ctx, s, event, eventRand) })
	}
	sleep(ctx, p.length)
	heal()
	harness.log("cut %d: healed", number)
	active.Wait()
}

// beginCut begins a cut and returns the function that ends it.
func (harness *Harness) beginCut(number int, s *sides, p *cutPlan, r *rand.Rand) (heal func()) {
	pickRand := rand.New(rand.NewPCG(r.Uint64(), 0))
	c := &cut{inside: map[string]bool{}, machines: map[string]reach{}, pick: func(vm *emul.Worker) reach { return p.vms.pick(vm, s.dataCentre, pickRand) }}
	var touched []func(time.Time)
	for _, e := range s.inside {
		c.inside[e.Name] = true
		touched = append(touched, harness.contact.begin(time.Now(), e.Name))
	}
	c.addLinks(p, s)
	alone := harness.reachedAlone(c)
	harness.mu.Lock()
	harness.cuts = append(harness.cuts, c)
	for key, path := range harness.vmPaths {
		c.addPath(key.entry, path)
	}
	harness.mu.Unlock()
	harness.log("cut %d: %s cut off, %d of %d machines reached by them alone: %s", number, joinNames(s.inside), len(alone), harness.cfg.Load.VMs, strings.Join(alone, " "))
	return func() {
		harness.mu.Lock()
		defer harness.mu.Unlock()
		harness.cuts = slices.DeleteFunc(harness.cuts, func(other *cut) bool { return other == c })
		for _, l := range c.paths {
			l.Heal(Upstream, Downstream)
		}
		for _, end := range c.ends {
			end()
		}
		for _, end := range touched {
			end(time.Now())
		}
	}
}

// addLinks cuts the links of the entries that are cut off but those to VMs.
func (c *cut) addLinks(p *cutPlan, s *sides) {
	var reverse []int
	for _, d := range p.directions {
		reverse = append(reverse, Upstream+Downstream-d)
	}
	for _, e := range s.inside {
		if p.links.log {
			c.addLink(e.Log, p.dropped, p.directions...)
		}
		if p.inventory {
			c.addLink(e.Fleet, p.dropped, p.directions...)
		}
		if p.links.entries {
			for _, other := range s.outside {
				c.addLink(other.peerLinks.links[e.Name], p.dropped, p.directions...)
				c.addLink(e.peerLinks.links[other.Name], p.dropped, reverse...)
			}
		}
		if p.apart {
			for _, other := range s.inside {
				c.addLink(other.peerLinks.links[e.Name], p.dropped, Upstream, Downstream)
			}
		}
	}
}

// outageDuringCut makes the log silent or down for all entries, in some plans with another entry cut off from all
// others.
func (harness *Harness) outageDuringCut(ctx context.Context, number int, s *sides, p *cutPlan, r *rand.Rand) {
	silent := r.IntN(2) == 0
	if sleep(ctx, p.outageAt); ctx.Err() != nil {
		return
	}
	harness.log("cut %d: outage of the log for %s, silent: %t", number, p.outage.Round(time.Millisecond), silent)
	defer harness.injectLogFault(func(s *emul.Store) { s.Down, s.Silent = true, silent }, func(s *emul.Store) { s.Down, s.Silent = false, false })()
	if !p.silentEntry || len(s.outside) == 0 {
		sleep(ctx, p.outage)
		return
	}
	e := s.outside[r.IntN(len(s.outside))]
	harness.log("cut %d: %s is cut off from all entries", number, e.Name)
	c, ended := &cut{}, harness.contact.begin(time.Now(), e.Name)
	for _, other := range harness.entries {
		if other != e {
			c.addLink(other.peerLinks.links[e.Name], false, Upstream, Downstream)
			c.addLink(e.peerLinks.links[other.Name], false, Upstream, Downstream)
		}
	}
	sleep(ctx, p.outage)
	for _, end := range c.ends {
		end()
	}
	ended(time.Now())
}

// disturbOwner kills or pauses an owner, one that is cut off or another one.
func (harness *Harness) disturbOwner(ctx context.Context, s *sides, event cutEvent, r *rand.Rand) {
	if sleep(ctx, event.at); ctx.Err() != nil {
		return
	}
	choice := s.outside
	if event.inside {
		choice = s.inside
	}
	if len(choice) == 0 {
		return
	}
	e := choice[r.IntN(len(choice))]
	if owner := harness.randomOwner(r); slices.Contains(choice, owner) {
		e = owner
	}
	if event.pause == 0 {
		harness.log("kill %s", e.Name)
		e.Kill()
		harness.restartAfter(e, randomDuration(r, time.Second))
		return
	}
	harness.log("pause %s for %s", e.Name, event.pause.Round(time.Millisecond))
	e.Signal(syscall.SIGSTOP)
	sleep(ctx, event.pause)
	e.Signal(syscall.SIGCONT)
}

// ownerOfJobs returns the owner of a random record of the job log, a random entry if it has none.
func (harness *Harness) ownerOfJobs(r *rand.Rand) *Entry {
	store, total := harness.platform.Store, 0
	for partition := range harness.cfg.Load.Partitions {
		total += store.Records(partition)
	}
	x := r.IntN(max(total, 1))
	for partition := range harness.cfg.Load.Partitions {
		if x -= store.Records(partition); x >= 0 {
			continue
		}
		if e := harness.entryOfMember(store.Owner(partition)); e != nil {
			return e
		}
	}
	return harness.randomEntry(r)
}

// drawSides draws an owner and the entries that are cut off with it.
func (harness *Harness) drawSides(set *cutEntrySet, r *rand.Rand) *sides {
	owner := harness.ownerOfJobs(r)
	s := &sides{owner: owner.Name, dataCentre: harness.cfg.Load.dataCentreOf(owner.Name)}
	cutOff := map[*Entry]bool{owner: true}
	for len(cutOff) < min(1+set.others, len(harness.entries)) {
		cutOff[harness.randomEntry(r)] = true
	}
	for _, e := range harness.entries {
		if cutOff[e] || set.dataCentre && harness.cfg.Load.dataCentreOf(e.Name) == s.dataCentre {
			s.inside = append(s.inside, e)
		} else {
			s.outside = append(s.outside, e)
		}
	}
	return s
}

// reachedAlone returns the machines whose VMs only the entries that are cut off reach.
func (harness *Harness) reachedAlone(c *cut) []string {
	vms := harness.platform.VMs()
	slices.SortFunc(vms, func(a, b *emul.Worker) int { return strings.Compare(a.Machine, b.Machine) })
	var machines []string
	for _, vm := range vms {
		if !c.reachOf(vm).outside {
			machines = append(machines, vm.Machine)
		}
	}
	return machines
}

func joinNames(entries []*Entry) string {
	var names []string
	for _, e := range entries {
		names = append(names, e.Name)
	}
	return strings.Join(names, " ")
}
