package position_test

import (
	"maps"
	"slices"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/position"
)

// kind is a kind of objects of the store.
type kind int

const (
	config kind = iota
	exclusion
	enrolled
	kindCount
)

// change is a write of an object.
type change struct {
	kind       kind
	name       string
	revision   uint64
	isDeletion bool
	version    uint64
	enrollment landing.Enrollment
}

// image is a state of the store: all changes up to its position.
type image struct {
	at      landing.StorePosition
	changes []change
}

// find returns the last change of the object, if it exists.
func (i image) find(k kind, name string) (change, bool) {
	for _, c := range slices.Backward(i.changes) {
		if c.kind == k && c.name == name {
			return c, !c.isDeletion
		}
	}
	return change{}, false
}

// objects returns the last change of each object of the kind that exists, by name.
func (i image) objects(k kind) map[string]change {
	objects := map[string]change{}
	for _, c := range i.changes {
		if c.kind == k {
			objects[c.name] = c
		}
	}
	maps.DeleteFunc(objects, func(_ string, c change) bool { return c.isDeletion })
	return objects
}

// since returns the changes of the kind after the revision.
func (i image) since(k kind, revision uint64) []change {
	return slices.DeleteFunc(slices.Clone(i.changes), func(c change) bool { return c.kind != k || c.revision <= revision })
}

func (i image) hasChanged(k kind, since uint64) bool {
	return slices.ContainsFunc(i.changes, func(c change) bool { return c.kind == k && c.revision > since })
}

// rules returns the configuration as a client of the store reads it.
func (i image) rules() landing.RoutingRules {
	c, _ := i.find(config, "main")
	return landing.RoutingRules{}.WithVersion(c.version).WithRevision(c.revision).WithEra(i.at.Era())
}

// exclusions returns the exclusions as a client of the store reads them that has read the previous ones.
func (i image) exclusions(previous landing.ZoneExclusions) landing.ZoneExclusions {
	objects := i.objects(exclusion)
	zones := slices.Sorted(maps.Keys(objects))
	isLaterEra := previous.Era() > 0 && previous.Era() != i.at.Era()
	if previous.Era() != i.at.Era() || previous.ChangedRevision() == 0 {
		previous = landing.ZoneExclusions{}.WithZones(zones...)
		for _, c := range objects {
			previous = previous.WithChangedRevision(max(previous.ChangedRevision(), c.revision))
		}
	}
	if isLaterEra {
		previous = previous.WithChangedRevision(i.at.Revision())
	}
	return exclusionsAt(previous, zones, i.at)
}

// exclusionsAfter returns the exclusions as a client of the store watches them from the previous ones on.
func (i image) exclusionsAfter(previous landing.ZoneExclusions) landing.ZoneExclusions {
	zones := map[string]bool{}
	for _, zone := range previous.Zones() {
		zones[zone] = true
	}
	for _, c := range i.since(exclusion, previous.Revision()) {
		zones[c.name] = !c.isDeletion
		previous = previous.WithChangedRevision(i.at.Revision())
	}
	maps.DeleteFunc(zones, func(_ string, isExcluded bool) bool { return !isExcluded })
	return exclusionsAt(previous, slices.Sorted(maps.Keys(zones)), i.at)
}

func exclusionsAt(previous landing.ZoneExclusions, zones []string, at landing.StorePosition) landing.ZoneExclusions {
	if !slices.Equal(zones, previous.Zones()) {
		previous = previous.WithChangedRevision(at.Revision())
	}
	return previous.WithEra(at.Era()).WithRevision(at.Revision()).WithZones(zones...)
}

// enrollments returns the enrollments as a client of the store reads them.
func (i image) enrollments() landing.EnrollmentList {
	return enrollmentsAt(i.objects(enrolled), i.at)
}

// enrollmentsAfter returns the enrollments as a client of the store watches them from the previous ones on.
func (i image) enrollmentsAfter(previous landing.EnrollmentList) landing.EnrollmentList {
	objects := map[string]change{}
	for _, e := range previous.Enrollments() {
		objects[e.Instance()] = change{enrollment: e}
	}
	for _, c := range i.since(enrolled, previous.Revision()) {
		objects[c.name] = c
	}
	maps.DeleteFunc(objects, func(_ string, c change) bool { return c.isDeletion })
	return enrollmentsAt(objects, i.at)
}

func enrollmentsAt(objects map[string]change, at landing.StorePosition) landing.EnrollmentList {
	list := make([]landing.Enrollment, 0, len(objects))
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		list = append(list, objects[name].enrollment.WithEra(at.Era()))
	}
	return landing.EnrollmentList{}.WithEra(at.Era()).WithRevision(at.Revision()).WithEnrollments(list...)
}

// store is the platform's store.
type store struct {
	image
	isAway bool
	// answersSince is the step since which the store has answered.
	answersSince int
	// oldest is the revision after which the store has all changes.
	oldest uint64
	// past are the states at all steps.
	past []image
}

func newStore() *store {
	return &store{image: image{at: position.New(1, 1)}}
}

// write carries out a change and returns its position.
func (s *store) write(c change) landing.StorePosition {
	s.skip(1)
	c.revision = s.at.Revision()
	c.enrollment = c.enrollment.WithRevision(c.revision)
	s.changes = append(slices.Clip(s.changes), c)
	return s.at
}

// skip counts changes of objects that the model does not contain.
func (s *store) skip(count uint64) {
	s.at = s.at.WithRevision(s.at.Revision() + count)
}

// enroll creates an enrollment, or returns the one that exists.
func (s *store) enroll(e landing.Enrollment) landing.Enrollment {
	if _, exists := s.find(enrolled, e.Instance()); !exists {
		s.write(change{kind: enrolled, name: e.Instance(), enrollment: e})
	}
	stored, _ := s.find(enrolled, e.Instance())
	return stored.enrollment.WithEra(s.at.Era())
}

// record keeps the state at this step.
func (s *store) record() {
	s.past = append(s.past, s.image)
}

// before returns the state this many steps ago.
func (s *store) before(steps int) image {
	return s.past[max(len(s.past)-1-steps, 0)]
}

// comeBack replaces the state by a copy and begins a new era.
func (s *store) comeBack(backup image, step int) {
	era := s.at.Era() + 1
	s.image = image{at: backup.at.WithEra(era), changes: backup.changes}
	s.oldest = min(s.oldest, s.at.Revision())
	s.answer(step)
}

// answer ends an absence.
func (s *store) answer(step int) {
	s.isAway, s.answersSince = false, step
}
