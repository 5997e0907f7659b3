package admit

// Share returns how many of a pool's slots an entry uses: in proportion to its
// demand among all entries', where each entry counts as if it had one request
// more, so that an idle entry can start at once. All shares together exceed the
// slots by less than one per entry.
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
