// Package mark decides which availability zones and upstreams are taken out.
//
// Marks of two processes are merged by taking, for each zone and upstream, the mark with the higher
// count. Merging is commutative and idempotent, so marks reach all processes in any order and over
// any path, and a mark that is in force is never lost by a merge.
package mark

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// Merge returns the marks of a and b together.
func Merge(a, b landing.ExclusionMarks) landing.ExclusionMarks {
	merged := a.Marks()
	for i := range b.MarksLen() {
		merged = insert(merged, b.MarksAt(i))
	}
	return landing.ExclusionMarks{}.WithMarks(merged...)
}

func insert(marks []landing.ExclusionMark, m landing.ExclusionMark) []landing.ExclusionMark {
	i, found := slices.BinarySearchFunc(marks, m, compareNames)
	if !found {
		return slices.Insert(marks, i, m)
	}
	if supersedes(m, marks[i]) {
		marks[i] = m
	}
	return marks
}

func compareNames(a, b landing.ExclusionMark) int {
	return cmp.Or(cmp.Compare(a.Zone(), b.Zone()), cmp.Compare(a.Upstream(), b.Upstream()))
}

// supersedes says whether a replaces b, which is for the same zone or upstream.
func supersedes(a, b landing.ExclusionMark) bool {
	if a.Count() != b.Count() {
		return a.Count() > b.Count()
	}
	if a.Out() != b.Out() {
		return a.Out()
	}
	return a.Author() > b.Author()
}

// SetZone returns the marks with the zone taken out or put back by author.
func SetZone(marks landing.ExclusionMarks, zone string, out bool, author string) landing.ExclusionMarks {
	return set(marks, landing.ExclusionMark{}.WithZone(zone), out, author)
}

// SetUpstream returns the marks with the upstream of this instance taken out or put back by author.
func SetUpstream(marks landing.ExclusionMarks, instance string, out bool, author string) landing.ExclusionMarks {
	return set(marks, landing.ExclusionMark{}.WithUpstream(instance), out, author)
}

func set(marks landing.ExclusionMarks, m landing.ExclusionMark, out bool, author string) landing.ExclusionMarks {
	list := marks.Marks()
	i, found := slices.BinarySearchFunc(list, m, compareNames)
	if found {
		m = list[i]
	}
	m = m.WithCount(m.Count() + 1).WithOut(out).WithAuthor(author)
	return Merge(marks, landing.ExclusionMarks{}.WithMarks(m))
}

// IsExcluded says whether the target, or the availability zone it is in, is taken out.
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

// Digest returns a hash of the marks, which differs when the marks differ; 0 when there are none.
func Digest(marks landing.ExclusionMarks) uint64 {
	if marks.MarksLen() == 0 {
		return 0
	}
	d := xxhash.New()
	for i := range marks.MarksLen() {
		writeMark(d, marks.MarksAt(i))
	}
	return d.Sum64()
}

func writeMark(d *xxhash.Digest, m landing.ExclusionMark) {
	out := byte(0)
	if m.Out() {
		out = 1
	}
	line := m.Zone() + "\x00" + m.Upstream() + "\x00" + m.Author() + "\x00"
	_, _ = d.WriteString(line)
	_, _ = d.Write([]byte{out, byte(m.Count()), byte(m.Count() >> 8), byte(m.Count() >> 16), byte(m.Count() >> 24)})
}
