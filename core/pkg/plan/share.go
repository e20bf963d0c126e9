package plan

// Share returns the part of total for the target at index, in proportion to its weight, or 0 when
// all weights are 0. Otherwise the parts of all targets add up to total. Sidecars that know the
// same weights can therefore enforce a common limit without exchanging messages. Index must be a
// valid index of weights.
func Share(total uint32, weights []uint32, index int) uint32 {
	var weightBefore, weightSum uint64
	for i, w := range weights {
		if i < index {
			weightBefore += uint64(w)
		}
		weightSum += uint64(w)
	}
	if weightSum == 0 {
		return 0
	}
	shareStart := weightBefore * uint64(total) / weightSum
	shareEnd := (weightBefore + uint64(weights[index])) * uint64(total) / weightSum
	return uint32(shareEnd - shareStart)
}
