package drive

import (
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ownerTable holds the known owners of all partitions. The platform's assignment names the
// entry that should own a partition. The claim with the highest epoch names the entry that
// owns it.
type ownerTable struct {
	mu              sync.Mutex
	assigned        map[int]member       // by partition
	seen            map[member]time.Time // when partitions were last assigned to an entry
	unassignedSince time.Time            // since when a partition has not been assigned; zero while all are
	claimed         map[int]ownerInfo    // by partition
}

const (
	memberMemory  = 10 * time.Second // for which an entry without partitions still counts as one that may own some
	strongerGrace = 3 * time.Second  // for entries with more cores to join the group again, as after an outage of the log, in which all memberships end
)

// member is an entry in the platform's group, as its name there describes it.
type member struct {
	address string  // of the peer interface
	cores   float64 // CPU that the entry gets
}

// memberName returns an entry's name in the platform's group: its own name, its peer address and
// its cores.
func memberName(entry, address string, cores float64) string {
	return entry + "@" + address + "@" + strconv.FormatFloat(cores, 'g', 4, 64)
}

// parseMember returns the entry with the given name in the group. Its cores are 0 if the name does
// not tell them.
func parseMember(name string) member {
	_, rest, _ := strings.Cut(name, "@")
	address, text, _ := strings.Cut(rest, "@")
	cores, err := strconv.ParseFloat(text, 64)
	if err != nil {
		cores = 0
	}
	return member{address: address, cores: cores}
}

// setAssignment replaces the platform's assignment of partitions to members.
func (o *ownerTable) setAssignment(now time.Time, members map[int]string, partitions int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	assigned := map[int]member{}
	for partition, name := range members {
		assigned[partition] = parseMember(name)
	}
	o.assigned = assigned
	if o.seen == nil {
		o.seen = map[member]time.Time{}
	}
	for _, m := range assigned {
		o.seen[m] = now
	}
	maps.DeleteFunc(o.seen, func(_ member, at time.Time) bool { return now.Sub(at) > memberMemory })
	switch {
	case len(assigned) >= partitions:
		o.unassignedSince = time.Time{}
	case o.unassignedSince.IsZero():
		o.unassignedSince = now
	}
}

// recordClaim records a claim. It reports whether its epoch is higher than the known one.
func (o *ownerTable) recordClaim(partition int, info ownerInfo) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if info.Epoch <= o.claimed[partition].Epoch {
		return false
	}
	if o.claimed == nil {
		o.claimed = map[int]ownerInfo{}
	}
	o.claimed[partition] = info
	return true
}

// shouldJoin reports whether an entry that owns no partition should be in the group. It should if no
// entry with more cores is known: then it can take over from any owner. A weaker entry should if a
// partition stays unassigned, or if the stronger ones are too few, but not while others may still start.
func (o *ownerTable) shouldJoin(now time.Time, self member, partitions int, starting bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	stronger := o.strongerCores(self)
	switch {
	case stronger == 0:
		return true
	case !o.unassignedSince.IsZero():
		return now.Sub(o.unassignedSince) > strongerGrace
	}
	return !starting && stronger/float64(partitions) < self.cores
}

// shouldLeave reports whether an entry that owns partitions should leave them to stronger owners, since
// these would have clearly more cores for each partition.
func (o *ownerTable) shouldLeave(self member, partitions int) bool {
	const hysteresis = 1.2 // ratio of the thresholds for leaving and for joining
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.strongerCores(self)/float64(partitions) > hysteresis*self.cores
}

// strongerCores returns the cores of all entries that own or lately owned partitions and have more cores
// than self; o.mu is held.
func (o *ownerTable) strongerCores(self member) float64 {
	sum := 0.0
	for m := range o.seen {
		if m.cores > self.cores {
			sum += m.cores
		}
	}
	return sum
}

// firstJoinDelay returns how long an entry waits before it first joins the group, so that after a
// loss of all entries the partitions go to those with the most cores.
func firstJoinDelay(cores float64) time.Duration {
	const oneCore, longest = 60 * time.Millisecond, 600 * time.Millisecond
	if cores <= 0 {
		return 0
	}
	return min(time.Duration(float64(oneCore)/cores), longest)
}

// addresses returns the peer addresses at which a partition's owner may be: that of the
// assigned entry, then that of the owner with the highest known epoch.
func (o *ownerTable) addresses(partition int) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []string
	if a := o.assigned[partition].address; a != "" {
		list = append(list, a)
	}
	if c := o.claimed[partition]; c.Address != "" && (len(list) == 0 || list[0] != c.Address) {
		list = append(list, c.Address)
	}
	return list
}

// latestClaim returns a partition's owner with the highest known epoch, the zero value if none
// is known.
func (o *ownerTable) latestClaim(partition int) ownerInfo {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.claimed[partition]
}

// claims returns a copy of the known claims.
func (o *ownerTable) claims() map[int]ownerInfo {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.claimed)
}

// peers returns the addresses of all known owners other than self.
func (o *ownerTable) peers(self string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := map[string]bool{self: true, "": true}
	var list []string
	add := func(a string) {
		if !seen[a] {
			seen[a] = true
			list = append(list, a)
		}
	}
	for _, m := range o.assigned {
		add(m.address)
	}
	for _, c := range o.claimed {
		add(c.Address)
	}
	return list
}
