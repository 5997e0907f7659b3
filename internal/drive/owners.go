package drive

import (
	"maps"
	"strings"
	"sync"
)

// ownerTable is what an entry knows of the partitions' ownerTable. The platform's assignment
// says who should own a partition; a claim, with its epoch, who does.
type ownerTable struct {
	mu       sync.Mutex
	assigned map[int]string // addresses
	claimed  map[int]ownerInfo
}

// memberName joins an entry's name and address for the platform's group.
func memberName(entry, address string) string { return entry + "@" + address }

func memberAddress(member string) string {
	_, address, _ := strings.Cut(member, "@")
	return address
}

// setAssignment takes over the platform's assignment.
func (o *ownerTable) setAssignment(members map[int]string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	assigned := map[int]string{}
	for partition, member := range members {
		assigned[partition] = memberAddress(member)
	}
	o.assigned = assigned
}

// recordClaim takes over a recordClaim and reports whether it is news.
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

// allAssigned reports whether every partition is assigned.
func (o *ownerTable) allAssigned(partitions int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.assigned) >= partitions
}

// addresses returns where a partition's owner may be, the likeliest first.
func (o *ownerTable) addresses(partition int) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []string
	if a := o.assigned[partition]; a != "" {
		list = append(list, a)
	}
	if c := o.claimed[partition]; c.Address != "" && (len(list) == 0 || list[0] != c.Address) {
		list = append(list, c.Address)
	}
	return list
}

// latestClaim returns the owner with the highest known epoch of a partition.
func (o *ownerTable) latestClaim(partition int) ownerInfo {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.claimed[partition]
}

// claims returns the claims.
func (o *ownerTable) claims() map[int]ownerInfo {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.claimed)
}

// peers returns the addresses of all known owners but one's own.
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
	for _, a := range o.assigned {
		add(a)
	}
	for _, c := range o.claimed {
		add(c.Address)
	}
	return list
}
