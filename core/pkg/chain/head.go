package chain

// head is the first targets of an order, by their index.
type head struct {
	targets [MaxHops]uint16
	count   int
}

// head returns the first targets of the order of bucket.
func (t *Table) head(bucket uint64) head {
	h := head{}
	var scores [MaxHops]float64
	for i, e := range t.entrants {
		h.insert(&scores, uint16(i), score(e, bucket))
	}
	return h
}

// insert puts the target with this index at its place by score, if it is among the first.
func (h *head) insert(scores *[MaxHops]float64, index uint16, score float64) {
	if h.count == MaxHops && score <= scores[h.count-1] {
		return
	}
	i := min(h.count, MaxHops-1)
	for ; i > 0 && scores[i-1] < score; i-- {
		scores[i] = scores[i-1]
		h.targets[i] = h.targets[i-1]
	}
	scores[i] = score
	h.targets[i] = index
	h.count = min(h.count+1, MaxHops)
}
