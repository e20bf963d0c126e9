// Package mark merges exclusion marks and decides which availability zones and upstreams they exclude
// from traffic. An exclusion mark records that an operator has taken a zone or an upstream out of
// service or has put it back. The count of a mark rises with each change of it.
//
// A merge of two sets of marks keeps, for each zone and upstream, the mark with the higher count. It is
// commutative, associative and idempotent, so processes can exchange marks in any order and over any
// path, and a mark that is in force is never lost by a merge with older marks.
package mark

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// Merge returns the marks of a and b; of two marks for the same zone or upstream, it keeps the one that
// supersedes the other.
func Merge(a, b landing.ExclusionMarks) landing.ExclusionMarks {
	merged := a.Marks()
	for i := range b.MarksLen() {
		merged = insertMark(merged, b.MarksAt(i))
	}
	return landing.ExclusionMarks{}.WithMarks(merged...)
}

// insertMark returns marks, which are ordered by compareSubjects, with mark added if it supersedes the
// one for the same zone or upstream or if there is none. It may change marks in place.
func insertMark(marks []landing.ExclusionMark, mark landing.ExclusionMark) []landing.ExclusionMark {
	i, found := slices.BinarySearchFunc(marks, mark, compareSubjects)
	if !found {
		return slices.Insert(marks, i, mark)
	}
	if supersedes(mark, marks[i]) {
		marks[i] = mark
	}
	return marks
}

// compareSubjects orders marks by the zone or upstream that they apply to.
func compareSubjects(a, b landing.ExclusionMark) int {
	return cmp.Or(cmp.Compare(a.Zone(), b.Zone()), cmp.Compare(a.Upstream(), b.Upstream()))
}

// supersedes reports whether a replaces b, which must be for the same zone or upstream. At equal counts
// an exclusion wins; the author only breaks ties, so that all processes choose the same mark.
func supersedes(a, b landing.ExclusionMark) bool {
	if a.Count() != b.Count() {
		return a.Count() > b.Count()
	}
	if a.Out() != b.Out() {
		return a.Out()
	}
	return a.Author() > b.Author()
}

// SetZone returns the marks with a newer mark by author that excludes the zone or puts it back.
func SetZone(marks landing.ExclusionMarks, zone string, excluded bool, author string) landing.ExclusionMarks {
	return setMark(marks, landing.ExclusionMark{}.WithZone(zone), excluded, author)
}

// SetUpstream returns the marks with a newer mark by author that excludes the upstream with this
// instance name or puts it back.
func SetUpstream(marks landing.ExclusionMarks, instance string, excluded bool, author string) landing.ExclusionMarks {
	return setMark(marks, landing.ExclusionMark{}.WithUpstream(instance), excluded, author)
}

// setMark returns the marks with a mark by author for the zone or upstream of mark. If there is one
// already, the new mark has a higher count and replaces it.
func setMark(marks landing.ExclusionMarks, mark landing.ExclusionMark, excluded bool, author string) landing.ExclusionMarks {
	list := marks.Marks()
	i, found := slices.BinarySearchFunc(list, mark, compareSubjects)
	if found {
		mark = list[i]
	}
	mark = mark.WithCount(mark.Count() + 1).WithOut(excluded).WithAuthor(author)
	return Merge(marks, landing.ExclusionMarks{}.WithMarks(mark))
}

// IsExcluded reports whether the target or its availability zone is excluded.
func IsExcluded(marks landing.ExclusionMarks, t landing.Target) bool {
	for i := range marks.MarksLen() {
		m := marks.MarksAt(i)
		if !m.Out() {
			continue
		}
		if m.Zone() != "" && m.Zone() == t.Zone() || m.Upstream() != "" && m.Upstream() == t.Instance() {
			return true
		}
	}
	return false
}

// Digest returns a hash by which two processes detect that their marks differ. It returns 0 when there
// are no marks.
func Digest(marks landing.ExclusionMarks) uint64 {
	if marks.MarksLen() == 0 {
		return 0
	}
	d := xxhash.New()
	for i := range marks.MarksLen() {
		hashMark(d, marks.MarksAt(i))
	}
	return d.Sum64()
}

func hashMark(d *xxhash.Digest, m landing.ExclusionMark) {
	outByte := byte(0)
	if m.Out() {
		outByte = 1
	}
	text := m.Zone() + "\x00" + m.Upstream() + "\x00" + m.Author() + "\x00"
	_, _ = d.WriteString(text)
	_, _ = d.Write([]byte{outByte, byte(m.Count()), byte(m.Count() >> 8), byte(m.Count() >> 16), byte(m.Count() >> 24)})
}
