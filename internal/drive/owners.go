package drive

import (
	"maps"
	"strings"
	"sync"
)

// ownerTable holds the known owners of all partitions. The platform's assignment names the
// entry that should own a partition. The claim with the highest epoch names the entry that
// owns it.
type ownerTable struct {
	mu       sync.Mutex
	assigned map[int]string    // peer addresses, by partition
	claimed  map[int]ownerInfo // by partition
}

// memberName returns an entry's name in the platform's group: its own name and its peer
// address.
func memberName(entry, address string) string { return entry + "@" + address }

func memberAddress(member string) string {
	_, address, _ := strings.Cut(member, "@")
	return address
}

// setAssignment replaces the platform's assignment of partitions to members.
func (o *ownerTable) setAssignment(members map[int]string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	assigned := map[int]string{}
	for partition, member := range members {
		assigned[partition] = memberAddress(member)
	}
	o.assigned = assigned
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

// allAssigned reports whether every partition is assigned.
func (o *ownerTable) allAssigned(partitions int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.assigned) >= partitions
}

// addresses returns the peer addresses at which a partition's owner may be: that of the
// assigned entry, then that of the owner with the highest known epoch.
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
	for _, a := range o.assigned {
		add(a)
	}
	for _, c := range o.claimed {
		add(c.Address)
	}
	return list
}
