package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

// cutEntrySet are the entries that are cut off with an owner.
type cutEntrySet struct {
	name       string
	dataCentre bool // those of its data centre
	others     int  // number of random others
}

var cutEntries = []cutEntrySet{
	{"data-centre", true, 0},
	{"owner", false, 0},
	{"two", false, 1},
}

// cutLinkSet are the links that the entries lose in a cut.
type cutLinkSet struct {
	name         string
	log, entries bool // to the log, and to and from the entries that are not cut off
}

var cutLinks = []cutLinkSet{
	{"all", true, true},
	{"log", true, false},
	{"entries", false, true},
}

// reach tells which entries reach a VM during a cut: those that are cut off, and the others.
type reach struct{ inside, outside bool }

// cutVMSet is a choice of VMs that not all entries reach during a cut. pick chooses for a VM; the data centre is that of
// the owner that is cut off.
type cutVMSet struct {
	name   string
	weight int // relative frequency
	pick   func(vm *emul.Worker, dataCentre string, r *rand.Rand) reach
}

var cutVMs = []cutVMSet{
	{"none", 0, func(*emul.Worker, string, *rand.Rand) reach { return reach{true, true} }},
	{"third", 1, func(_ *emul.Worker, _ string, r *rand.Rand) reach { return reach{true, r.IntN(3) > 0} }},
	{"two-thirds", 1, func(_ *emul.Worker, _ string, r *rand.Rand) reach { return reach{true, r.IntN(3) == 0} }},
	{"data-centre", 1, func(vm *emul.Worker, dataCentre string, _ *rand.Rand) reach {
		return reach{true, vm.DataCentre() != dataCentre}
	}},
	{"split", 6, func(vm *emul.Worker, dataCentre string, _ *rand.Rand) reach {
		return reach{vm.DataCentre() == dataCentre, vm.DataCentre() != dataCentre}
	}},
}

// drawCutVMs returns a random choice, by weight.
func drawCutVMs(r *rand.Rand) *cutVMSet {
	total := 0
	for i := range cutVMs {
		total += cutVMs[i].weight
	}
	x, i := r.IntN(total), 0
	for ; x >= cutVMs[i].weight; i++ {
		x -= cutVMs[i].weight
	}
	return &cutVMs[i]
}

func findCutEntries(name string) *cutEntrySet {
	if i := slices.IndexFunc(cutEntries, func(s cutEntrySet) bool { return s.name == name }); i >= 0 {
		return &cutEntries[i]
	}
	return nil
}

func findCutLinks(name string) *cutLinkSet {
	if i := slices.IndexFunc(cutLinks, func(s cutLinkSet) bool { return s.name == name }); i >= 0 {
		return &cutLinks[i]
	}
	return nil
}

func findCutVMs(name string) *cutVMSet {
	if i := slices.IndexFunc(cutVMs, func(s cutVMSet) bool { return s.name == name }); i >= 0 {
		return &cutVMs[i]
	}
	return nil
}

// cutPlan describes one cut. Times are from its begin.
type cutPlan struct {
	length      time.Duration
	next        time.Duration // until the next cut begins
	entries     *cutEntrySet
	links       *cutLinkSet
	vms         *cutVMSet
	apart       bool  // the entries that are cut off do not reach each other either
	directions  []int // seen from the entries that are cut off: Upstream is from them, Downstream to them
	dropped     bool  // what was sent over connections that were open is lost, not held back
	inventory   bool  // the fleet inventory is cut off with the log
	logDelay    time.Duration
	outage      time.Duration // of the log for all
	silentEntry bool          // another entry is cut off from all entries during the outage
	outageAt    time.Duration
	events      []cutEvent
}

// cutEvent is the kill or pause of an owner during a cut.
type cutEvent struct {
	at, pause time.Duration // pause is 0 for a kill
	inside    bool          // the owner is cut off
}

// drawCut draws a cut.
func drawCut(load *Load, r *rand.Rand) *cutPlan {
	const minLength, lengthSpread, minRest, maxRest = 3 * time.Second, 22 * time.Second, time.Second, 5 * time.Second
	p := &cutPlan{length: minLength + time.Duration(r.Int64N(int64(lengthSpread))), directions: []int{Upstream, Downstream}}
	if load.CutLength > 0 {
		p.length = load.CutLength
	}
	p.next = p.length + minRest + randomDuration(r, maxRest-minRest)
	p.entries, p.links, p.vms = &cutEntries[0], &cutLinks[0], drawCutVMs(r)
	if load.CutEntries != "" {
		p.entries = findCutEntries(load.CutEntries)
	}
	if load.CutLinks != "" {
		p.links = findCutLinks(load.CutLinks)
	}
	if load.CutVMs != "" {
		p.vms = findCutVMs(load.CutVMs)
	}
	if !load.PlainCuts {
		p.vary(r)
	}
	if load.CutOutage > 0 {
		p.outage, p.outageAt = min(load.CutOutage, p.length), 0
	}
	return p
}

// vary draws what else happens.
func (p *cutPlan) vary(r *rand.Rand) {
	const maxLogDelay, maxOutage, maxPause, maxEvents = 400 * time.Millisecond, 5 * time.Second, 5 * time.Second, 2
	within := func() time.Duration { return time.Duration(r.Int64N(int64(p.length))) }
	if r.IntN(3) == 0 { // the next cut overlaps
		p.next = p.length / 2
	}
	p.apart, p.inventory = r.IntN(2) == 0, r.IntN(2) == 0
	switch r.IntN(6) {
	case 0:
		p.directions = []int{Upstream}
	case 1:
		p.directions = []int{Downstream}
	default:
		p.dropped = r.IntN(2) == 0
	}
	if r.IntN(4) == 0 {
		p.logDelay = randomDuration(r, maxLogDelay)
	}
	if r.IntN(4) == 0 {
		p.outage, p.outageAt, p.silentEntry = min(randomDuration(r, maxOutage), p.length), within(), true
	}
	for range r.IntN(maxEvents + 1) {
		e := cutEvent{at: within(), inside: r.IntN(2) == 0}
		if r.IntN(2) == 0 {
			e.pause = minOwnerPause + randomDuration(r, maxPause-minOwnerPause)
		}
		p.events = append(p.events, e)
	}
}

// String describes the cut for the event log.
func (p *cutPlan) String() string {
	text := []string{fmt.Sprintf("%s, entries %s, links %s, VMs %s", p.length.Round(time.Millisecond), p.entries.name, p.links.name, p.vms.name)}
	for _, variant := range []struct {
		name string
		set  bool
	}{
		{"the entries are apart", p.apart},
		{"from them alone", len(p.directions) == 1 && p.directions[0] == Upstream},
		{"to them alone", len(p.directions) == 1 && p.directions[0] == Downstream},
		{"data is dropped", p.dropped},
		{"without inventory", p.inventory},
	} {
		if variant.set {
			text = append(text, variant.name)
		}
	}
	if p.logDelay > 0 {
		text = append(text, "the log answers late by "+p.logDelay.Round(time.Millisecond).String())
	}
	return strings.Join(text, ", ")
}
