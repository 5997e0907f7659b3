package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Figures of the rules LOST and MIXED, the same on both sites.
const (
	finish      = 14 * time.Second
	visible     = 3 * time.Second
	nothingRuns = 3 * time.Second
)

const queueA, queueB = "/puxa400/", "/tije37/"

// gangCase loses one worker of the only rack that has room for a gang with singleRack. Three workers in each of four
// racks stay without a run.
func gangCase(s *site, trouble bool) (outcome, error) {
	const service, racks, perRack = "pool-a", 4, 4
	machines := map[string][]*machine{}
	for r := range racks {
		rack := fmt.Sprintf("r1-%d", r+1)
		for range perRack {
			m, err := s.addMachine(service, rack)
			if err != nil {
				return outcome{}, err
			}
			machines[rack] = append(machines[rack], m)
		}
	}
	s.configure([]string{service}, []route{{"r-a", queueA, service, 3000}, {"r-b", queueB, service, 3000}})
	if err := s.startEntries(3); err != nil {
		return outcome{}, err
	}
	time.Sleep(4 * time.Second) // until all workers have been polled, so that the next work units go to their racks
	var lasting []step
	for r := 2; r <= racks; r++ {
		lasting = append(lasting, step{Count: 1, CPU: 1000, MemMB: 500, EstimateMS: 500, LongRunning: true, Affinity: fmt.Sprintf("r1-%d", r), MayMiss: 1})
	}
	if err := s.submit(s.entries[0], queueB, "00000000000000b1", lasting); err != nil {
		return outcome{}, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		s.lose(machines["r1-1"][0])
	}
	time.Sleep(8 * time.Second)
	for i := range lasting {
		if rack := s.log.rackOf(fmt.Sprintf("00000000000000b1.0.%d.0", i)); rack != lasting[i].Affinity {
			return outcome{}, fmt.Errorf("a long-running work unit is in rack %q and not in %s", rack, lasting[i].Affinity)
		}
	}
	const gang = "00000000000000a1"
	if err := s.submit(s.entries[1], queueA, gang, []step{{Count: 4, CPU: 8000, MemMB: 1000, EstimateMS: 1500, Gang: true, SingleRack: true, work: 1500 * time.Millisecond}}); err != nil {
		return outcome{}, err
	}
	last := time.Now()
	s.log.line("end of the traffic")
	for time.Since(last) < finish+nothingRuns+time.Second {
		if _, state := s.state(s.entries[2], queueA, gang); state == "completed" {
			return outcome{why: fmt.Sprintf("the gang was completed %.1f s after it was handed in", time.Since(last).Seconds())}, nil
		}
		time.Sleep(time.Second)
	}
	now := time.Now()
	if s.log.anyRun(gang, now.Add(-nothingRuns), now) {
		return outcome{why: "a work unit of the gang ran in the last 3 s"}, nil
	}
	return outcome{broken: true, why: fmt.Sprintf("LOST: %.0f s after the end of the traffic no work unit of the accepted job %s runs, or has for 3 s; 12 workers with 8 cores each run nothing, the gang wants 4 of them, 3 of 120 cores are in use", now.Sub(last).Seconds(), gang)}, nil
}

// waitingCase sends a queue with waiting jobs to another service.
func waitingCase(s *site, trouble bool) (outcome, error) {
	const a, b, jobs = "pool-a", "pool-b", 8
	for _, pool := range []string{a, b} {
		if _, err := s.addMachine(pool, "r1-1"); err != nil {
			return outcome{}, err
		}
	}
	s.configure([]string{a, b}, []route{{"r-a", queueA, a, 3000}, {"r-b", queueB, b, 3000}})
	if err := s.startEntries(3); err != nil {
		return outcome{}, err
	}
	all := []step{{Count: 1, CPU: 4000, MemMB: 500, EstimateMS: 500, LongRunning: true}}
	if err := s.submit(s.entries[0], queueA, "00000000000000a0", all); err != nil {
		return outcome{}, err
	}
	if err := s.submit(s.entries[0], queueB, "00000000000000b0", all); err != nil {
		return outcome{}, err
	}
	time.Sleep(2 * time.Second)
	for i := range jobs {
		if err := s.submit(s.entries[i%3], queueA, fmt.Sprintf("00000000000000a%d", i+1), all); err != nil {
			return outcome{}, err
		}
	}
	time.Sleep(visible + 2*time.Second + time.Second)
	for _, e := range s.entries {
		if n := s.waiting(e, queueA); 2*n < jobs {
			return outcome{}, fmt.Errorf("%s gives %d waiting jobs before the change", e.name, n)
		}
	}
	routes := []route{{"r-a", queueA, b, 3000}, {"r-b", queueB, b, 3000}}
	if !trouble {
		routes[0].service, routes[0].timeoutMS = a, 2500
	}
	s.configure([]string{a, b}, routes)
	time.Sleep(s.bounds.configApply + 2*time.Second)
	worst, asked := jobs, 0
	for range 5 {
		for _, e := range s.entries {
			if n := s.waiting(e, queueA); n >= 0 {
				worst, asked = min(worst, n), asked+1
			}
		}
		time.Sleep(time.Second)
	}
	for i := range jobs {
		if _, state := s.state(s.entries[i%3], queueA, fmt.Sprintf("00000000000000a%d", i+1)); state != "queued" {
			return outcome{}, fmt.Errorf("job %d is %q and not queued", i+1, state)
		}
	}
	if asked == 0 {
		return outcome{}, fmt.Errorf("no count was answered")
	}
	why := fmt.Sprintf("%d jobs of the queue were accepted and have not begun; of %d answers the lowest gives %d as waiting", jobs, asked, worst)
	if 2*worst < jobs {
		return outcome{broken: true, why: "MIXED: " + why}, nil
	}
	return outcome{why: why}, nil
}

// quotaCase lowers what a tenant may have running. The tenant then hands in jobs for two services, each work unit of
// which is more than half of that.
func quotaCase(s *site, trouble bool) (outcome, error) {
	const a, b, workers, jobs = "pool-a", "pool-b", 3, 4
	for range workers {
		for i, pool := range []string{a, b} {
			if _, err := s.addMachine(pool, fmt.Sprintf("r1-%d", i+1)); err != nil {
				return outcome{}, err
			}
		}
	}
	const before, after, cpu = 40000, 10000, 6000
	s.key = "key-of-t1"
	routes := []route{{"r-a", queueA, a, 3000}, {"r-b", queueB, b, 3000}}
	s.configure([]string{a, b}, routes, tenant{"t1", s.key, before})
	if err := s.startEntries(3); err != nil {
		return outcome{}, err
	}
	time.Sleep(5 * time.Second)
	limit := before
	if trouble {
		limit = after
	}
	s.configure([]string{a, b}, routes, tenant{"t1", s.key, limit})
	time.Sleep(s.bounds.configApply + 4*time.Second)
	one := []step{{Count: 1, CPU: cpu, MemMB: 500, EstimateMS: 1000, work: time.Second}}
	type job struct{ prefix, id string }
	var list []job
	for i := range jobs {
		for _, prefix := range []string{queueA, queueB} {
			j := job{prefix, fmt.Sprintf("00000000000000%s%d", map[string]string{queueA: "a", queueB: "b"}[prefix], i)}
			if err := s.submit(s.entries[i%3], j.prefix, j.id, one); err != nil {
				return outcome{}, err
			}
			list = append(list, j)
		}
	}
	last := time.Now()
	s.log.line("end of the traffic")
	time.Sleep(finish + nothingRuns + time.Second)
	now, completed, stuck := time.Now(), 0, 0
	for i, j := range list {
		if _, state := s.state(s.entries[i%3], j.prefix, j.id); state == "completed" {
			completed++
		}
	}
	for _, j := range list {
		if !s.log.anyRun(j.id, last, now) {
			stuck++
		}
	}
	running := false
	for _, j := range list {
		running = running || s.log.anyRun(j.id, now.Add(-nothingRuns), now)
	}
	why := fmt.Sprintf("%.0f s after the end of the traffic %d of %d accepted jobs are completed; the tenant may have %d thousandths of a core running, each job wants %d", now.Sub(last).Seconds(), completed, len(list), limit, cpu)
	if completed < len(list) && !running {
		return outcome{broken: true, why: "LOST: " + why + "; for 3 s the tenant has had nothing running, and no worker runs anything"}, nil
	}
	return outcome{why: why}, nil
}

// waveCase loses a worker for good, so that a work unit of a step with antiAffinity and mayMiss 1 has no worker any more.
// Then the other machines of the pool are due for upkeep.
func waveCase(s *site, trouble bool) (outcome, error) {
	const a, units, others, jobs = "pool-a", 4, 4, 6
	var machines []*machine
	services := []string{a}
	for range units {
		m, err := s.addMachine(a, "r1-1")
		if err != nil {
			return outcome{}, err
		}
		machines = append(machines, m)
	}
	routes := []route{{"r-a", queueA, a, 3000}, {"r-la", queueB, a, 3000}}
	for i := range others {
		name := fmt.Sprintf("pool-%c", 'b'+i)
		if _, err := s.addMachine(name, "r1-2"); err != nil {
			return outcome{}, err
		}
		services = append(services, name)
		routes = append(routes, route{"r-" + name, "/" + name + "/", name, 3000})
	}
	s.configure(services, routes)
	if err := s.startEntries(3); err != nil {
		return outcome{}, err
	}
	lasting := []step{{Count: units, CPU: 2000, MemMB: 500, EstimateMS: 500, LongRunning: true, AntiAff: 1, MayMiss: 1}}
	if err := s.submit(s.entries[0], queueB, "00000000000000b0", lasting); err != nil {
		return outcome{}, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		s.lose(machines[0])
	}
	time.Sleep(8 * time.Second)
	s.requestWave(1, machines[1:], 24*time.Second, 3)
	time.Sleep(20 * time.Second)
	one := []step{{Count: 1, CPU: 1000, MemMB: 500, EstimateMS: 500, work: 500 * time.Millisecond}}
	for i := range jobs {
		if err := s.submit(s.entries[i%3], queueA, fmt.Sprintf("00000000000000a%d", i), one); err != nil {
			return outcome{}, err
		}
	}
	last := time.Now()
	s.log.line("end of the traffic")
	time.Sleep(finish + nothingRuns + time.Second)
	now, completed := time.Now(), 0
	for i := range jobs {
		if _, state := s.state(s.entries[i%3], queueA, fmt.Sprintf("00000000000000a%d", i)); state == "completed" {
			completed++
		}
	}
	running := false
	for i := range jobs {
		running = running || s.log.anyRun(fmt.Sprintf("00000000000000a%d", i), now.Add(-nothingRuns), now)
	}
	why := fmt.Sprintf("%.0f s after the end of the traffic %d of %d accepted jobs are completed", now.Sub(last).Seconds(), completed, jobs)
	if completed < jobs && !running {
		return outcome{broken: true, why: "LOST: " + why + "; none of their work units has run for 3 s, and three workers of their service are up with 6 of 8 cores free each"}, nil
	}
	return outcome{why: why}, nil
}

// refuseCase cuts the entry that runs a service's jobs off from the store and from the other entries, so that connections
// to it are refused. The entry that takes over has lost the path to the worker of a job; the former one has not.
func refuseCase(s *site, trouble bool) (outcome, error) {
	const a, workers, partition = "pool-a", 6, 0
	const cut, workerCut = 5500 * time.Millisecond, 5 * time.Second
	for i := range workers {
		if _, err := s.addMachine(a, fmt.Sprintf("r1-%d", i/2+1)); err != nil {
			return outcome{}, err
		}
	}
	s.configure([]string{a}, []route{{"r-a", queueA, a, 3000}})
	if err := s.startEntries(4); err != nil {
		return outcome{}, err
	}
	time.Sleep(6 * time.Second)
	const id = "00000000000000a1"
	if err := s.submit(s.entries[0], queueA, id, []step{{Count: 1, CPU: 1000, MemMB: 500, EstimateMS: 25000, work: 25 * time.Second}}); err != nil {
		return outcome{}, err
	}
	time.Sleep(3400 * time.Millisecond) // the former owner polls the worker again 1.7 s later
	owner, worker := s.store.ownerOf(partition), s.log.workerOf(id+".0.0.0")
	if owner == nil || worker == "" {
		return outcome{}, errors.New("the job has no owner or no run")
	}
	var former *entry
	for _, e := range s.entries {
		if strings.HasPrefix(*owner, e.name+"@") {
			former = e
		}
	}
	s.log.line("%s owns the job, which runs on %s", former.name, worker)
	if trouble {
		s.store.onAppend(func(caller string, part int, keys []string) {
			if part != partition || !slices.Contains(keys, "owner") || caller == former.name {
				return
			}
			s.store.onAppend(nil)
			g := s.link(caller, worker)
			if g == nil {
				return
			}
			g.setSilent(true)
			s.log.line("DISRUPTION: %s takes over; it and %s lose their path to one another for %s", caller, worker, workerCut)
			time.AfterFunc(workerCut, func() {
				g.setSilent(false)
				s.log.line("%s and %s have their path again", caller, worker)
			})
		})
		former.log.refuse()
		former.peers.refuse()
		for _, e := range s.entries {
			if e != former {
				e.peers.bar(former.name)
				s.log.line("DISRUPTION: %s and %s are cut off from one another, with refusals", former.name, e.name)
			}
		}
		s.log.line("DISRUPTION: %s is cut off from the store for %s, which refuses it", former.name, cut)
		time.Sleep(cut)
		if err := former.log.reopen(); err != nil {
			return outcome{}, err
		}
		if err := former.peers.reopen(); err != nil {
			return outcome{}, err
		}
		for _, e := range s.entries {
			e.peers.bar("")
		}
		s.log.line("%s is no longer cut off", former.name)
	}
	time.Sleep(28 * time.Second)
	if both := s.log.overlap(id + ".0.0.0"); both != "" {
		return outcome{broken: true, why: "TWICE: " + both}, nil
	}
	return outcome{why: "no work unit ran twice at the same time"}, nil
}
