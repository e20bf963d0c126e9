package plan

// Share returns the part of total that falls to the target at this place, in proportion to its weight.
// The parts of all places add up to total, so sidecars that know the same weights keep a limit together
// without a message between them. Place must be an index of weights.
func Share(total uint32, weights []uint32, place int) uint32 {
	var before, sum uint64
	for i, w := range weights {
		if i < place {
			before += uint64(w)
		}
		sum += uint64(w)
	}
	if sum == 0 {
		return 0
	}
	first := before * uint64(total) / sum
	last := (before + uint64(weights[place])) * uint64(total) / sum
	return uint32(last - first)
}
