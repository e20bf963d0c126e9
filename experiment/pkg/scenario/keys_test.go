package scenario

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/envelope"
	"github.com/crocuslanding/crocuslanding/experiment/pkg/deployment"
	"github.com/crocuslanding/crocuslanding/landingctl/pkg/command"
)

// No request fails and no feed ends during two key rotations under load. Afterwards a datagram without a valid tag is
// refused and counted.
func TestKeyRotationKeepsFlowsAndDropsForgeries(t *testing.T) {
	is := is.New(t)
	desk := newRequestService(3)
	d := startDeployment(t, deployment.NewPlan(desk))
	feeds := openFeeds(t, d, desk, 12)
	load := startLoad(d, desk, 8)
	is.NoErr(runLandingctl(d, command.Rotate, "-wait", "10s"))
	is.NoErr(runLandingctl(d, command.Rotate, "-wait", "10s"))
	for _, s := range load.Stop() {
		is.Equal(s.FailureReason(), "")
	}
	awaitProgress(t, feeds)
	for _, f := range feeds {
		is.NoErr(f.Err())
	}

	n := d.Nodes()[0]
	refused := n.Counters().Counter("refused." + landing.RefusalTag.String())
	is.Equal(refused.Count(), int64(0))
	is.NoErr(sendForgedDatagram(n.Snapshot().Target().Front(), desk.Name()))
	is.NoErr(deployment.Await(func() bool { return refused.Count() == 1 }))
}

// sendForgedDatagram sends a datagram to a sidecar, without an authentication tag because its keyring is empty.
func sendForgedDatagram(to, service string) error {
	conn, err := net.DialTimeout("udp4", to, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	c := landing.Chain{}.
		WithService(service).
		WithHops(landing.Hop{}.WithAddress(1).WithPort(1))
	b := make([]byte, 2*envelope.MaxHeaderBytes)
	source := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	// 0 is the number of the chain's first part.
	first := envelope.WriteHeader(b, envelope.MaxHeaderBytes, c, 0, source, envelope.NewKeys(landing.Keyring{}))
	_, err = conn.Write(b[first:])
	return err
}
