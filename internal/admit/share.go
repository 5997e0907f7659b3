package admit

// Share returns how many of a pool's slots an entry may use, in proportion to its share
// of all entries' demand. The arguments own and others are the demand of this entry and
// of each other entry, in requests that run or wait. One request is added to each demand,
// and the share is rounded up to at least one, so that an idle entry can start a request
// at once. By the rounding, the sum of all shares exceeds the slots by less than one per
// entry.
func Share(slots, own int, others []int) int {
	if slots <= 0 {
		return 0
	}
	total := own + 1
	for _, d := range others {
		total += d + 1
	}
	return max(1, (slots*(own+1)+total-1)/total)
}
