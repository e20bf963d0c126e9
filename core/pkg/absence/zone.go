package absence

import (
	"time"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	// darkAfter is the silence of all sidecars of a zone after which it is dark. Processes that are killed or stopped
	// beside living upstreams are back within 0.6 s, also when those of a whole zone are stopped together.
	darkAfter = 1500 * time.Millisecond
	// leastRemote is the number of inquiries in other zones that must have stayed without an answer.
	leastRemote = 2
)

// darkness is what is known of the sidecars of one zone.
type darkness struct {
	sign    time.Time
	remote  uint32
	isHeard bool
}

// UnreachableZones returns the zones of which no sidecar gives a sign of life, neither here nor to sidecars of other zones.
//
// It answers the loss of a zone. Nobody in it can say that its sidecars are gone, so their enrollments stay, and each
// caller with an open flow there would wait in silence until its deadline. A flow in a dark zone cannot be reached by
// anybody who still hears the fleet, so its caller had better open another one. Only a balancer that hears most zones
// decides so: one that hears few of them is itself cut off.
func UnreachableZones(neighbors []landing.KnownSidecar, now time.Time) map[string]bool {
	zones := map[string]darkness{}
	for _, n := range neighbors {
		d := zones[n.Enrollment().Zone()]
		if sign := lastSign(n); sign.After(d.sign) {
			d.sign = sign
		}
		d.remote = max(d.remote, n.UnansweredRemoteProbes())
		d.isHeard = d.isHeard || now.Sub(n.LastStatusAt()) <= heardWithin
		zones[n.Enrollment().Zone()] = d
	}
	heard := 0
	dark := map[string]bool{}
	for zone, d := range zones {
		if d.isHeard {
			heard++
		}
		if now.Sub(d.sign) > darkAfter && d.remote >= leastRemote {
			dark[zone] = true
		}
	}
	if 2*heard <= len(zones) {
		return nil
	}
	return dark
}
