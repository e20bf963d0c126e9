package chain

// firstPart is the first part of a chain: the indexes of its count candidates in Table.candidates,
// highest score first.
type firstPart struct {
	candidates [MaxHops]uint16
	count      int
}

// firstPartOf returns the first part of the chain of bucket.
func (t *Table) firstPartOf(bucket uint64) firstPart {
	part := firstPart{}
	var scores [MaxHops]float64
	for i, c := range t.candidates {
		part.insert(&scores, uint16(i), score(c, bucket))
	}
	return part
}

// insert adds the candidate at this index if its score is among the MaxHops highest so far. Scores
// holds the scores of p.candidates.
func (p *firstPart) insert(scores *[MaxHops]float64, index uint16, score float64) {
	if p.count == MaxHops && score <= scores[p.count-1] {
		return
	}
	i := min(p.count, MaxHops-1)
	for ; i > 0 && scores[i-1] < score; i-- {
		scores[i] = scores[i-1]
		p.candidates[i] = p.candidates[i-1]
	}
	scores[i] = score
	p.candidates[i] = index
	p.count = min(p.count+1, MaxHops)
}
