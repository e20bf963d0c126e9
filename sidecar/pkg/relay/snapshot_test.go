package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// Guards against a sidecar that reports its ended upstream as unspecified while it tries to remove its enrollment
// at a platform that does not respond. Balancers then kept asking it for flows, and after its end its zone could
// not be told from one that is silent.
func TestUpstreamPhase_LeftWhileStopping(t *testing.T) {
	is := is.New(t)
	left := Snapshot{}.WithUpstream(landing.UpstreamState{}.WithPhase(landing.PhaseLeft)).WithStopping()
	is.Equal(left.UpstreamPhase(start, 0), landing.PhaseLeft)
	serving := Snapshot{}.WithUpstream(landing.UpstreamState{}.WithPhase(landing.PhaseServing)).WithStopping()
	is.Equal(serving.UpstreamPhase(start, 0), landing.PhaseUnspecified)
}
