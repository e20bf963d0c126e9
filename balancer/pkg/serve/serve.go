// Package serve answers the calls of sidecars, peers and landingctl from the newest snapshot.
package serve

import (
	"context"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/balancer/pkg/keeper"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/loader"
	"github.com/crocuslanding/crocuslanding/core/pkg/roster"
)

// homesTold is the number of balancers that a sidecar is told of: its home and those that follow.
const homesTold = 5

// Server implements control.Service for a balancer.
type Server struct {
	common common.Telemetry
	keeper *keeper.ControlThread
	loader *loader.Loader
}

// New returns a server that answers from the keeper's snapshots.
func New(c common.Telemetry, k *keeper.ControlThread, l *loader.Loader) *Server {
	return &Server{common: c, keeper: k, loader: l}
}

// Announce takes a heartbeat of a sidecar and returns what is news to it.
func (s *Server) Announce(_ context.Context, h landing.SidecarHeartbeat) (landing.StateUpdate, error) {
	t := h.Target()
	if t.Instance() == "" || t.Service() == "" || t.Zone() == "" {
		s.common.Counters().CountRefusal(landing.RefusalMalformed)
		return landing.StateUpdate{}, trace.BadParameter("heartbeat without instance, service or zone")
	}
	s.keeper.Post(landing.HeartbeatReceived{}.WithTarget(t).WithKeyringSerial(h.Digest().Keys()).WithReceivedAt(time.Now()))
	snapshot := s.keeper.Snapshot()
	news := newsFor(snapshot, h.Digest())
	weights, place := roster.ServingWeights(snapshot.Roster(), t.Service(), t.Instance())
	if place >= 0 {
		news = news.WithTargetWeights(weights...).WithWeightIndex(uint32(place))
	}
	present, found := roster.Find(snapshot.Roster(), t.Instance())
	if found && present.Phase() == landing.PhaseLeft && present.Incarnation() == t.Incarnation() {
		news = news.WithChangeToExceed(present.Change())
	}
	news = news.WithRoster(landing.Roster{}).WithRosterDelta(landing.RosterDelta{})
	if h.Digest().Roster() == snapshot.Roster().Serial() {
		return news, nil
	}
	homes := roster.RankBalancers(snapshot.Roster().Members(), t.Instance())
	return news.WithBalancers(homes[:min(len(homes), homesTold)]...), nil
}

// Gossip takes what a peer knows and returns what is news to it.
func (s *Server) Gossip(_ context.Context, x landing.GossipRequest) (landing.StateUpdate, error) {
	if x.Marks().MarksLen() > 0 {
		s.keeper.Post(landing.ExclusionMarksReceived{}.WithMarks(x.Marks()))
	}
	s.keeper.Post(landing.PeerStateReceived{}.WithSender(x.Sender()).WithTargetUpdates(x.TargetUpdates()...).WithReceivedAt(time.Now()))
	return newsFor(s.keeper.Snapshot(), x.Digest()), nil
}

// Fetch returns the chunks that the balancer has.
func (s *Server) Fetch(_ context.Context, w landing.ChunkRequest) (landing.ChunkResponse, error) {
	return s.loader.Chunks(w), nil
}

// Status returns the state of the balancer and the explanation that was asked for.
func (s *Server) Status(_ context.Context, q landing.StatusRequest) (landing.BalancerReport, error) {
	snapshot := s.keeper.Snapshot()
	report := landing.BalancerReport{}.
		WithInstance(snapshot.Membership().Self().Instance()).
		WithDigest(snapshot.Digest()).
		WithRoster(snapshot.Roster()).
		WithMarks(snapshot.View().Marks()).
		WithHolder(snapshot.Membership().RegionState().Lease().Holder()).
		WithCounters(s.common.Counters().Values()...).
		WithKeys(lowestKeys(snapshot))
	if q.CallerAddress() == "" {
		return report, nil
	}
	return explain(report, snapshot, q)
}

// lowestKeys returns the lowest serial number of the keyring among the balancer and its sidecars.
func lowestKeys(s keeper.Snapshot) uint64 {
	lowest := s.Keyring().Serial()
	for _, sighting := range s.Membership().TargetHeartbeats() {
		lowest = min(lowest, sighting.KeyringSerial())
	}
	return lowest
}

func newsFor(s keeper.Snapshot, theirs landing.VersionDigest) landing.StateUpdate {
	ours := s.Digest()
	news := landing.StateUpdate{}.WithDigest(ours)
	if ours.Root() > theirs.Root() {
		news = news.WithRoot(s.Root())
	}
	if ours.Roster() > theirs.Roster() {
		news = withRoster(news, s, theirs.Roster())
	}
	if ours.Keys() > theirs.Keys() {
		news = news.WithKeyring(s.Keyring())
	}
	if ours.Marks() != theirs.Marks() {
		news = news.WithMarks(s.View().Marks())
	}
	return news
}

// withRoster adds what changed since the roster with this serial number, or else the whole roster.
func withRoster(news landing.StateUpdate, s keeper.Snapshot, serial uint64) landing.StateUpdate {
	past, found := s.PreviousRoster(serial)
	if !found {
		return news.WithRoster(s.Roster())
	}
	return news.WithRosterDelta(roster.Diff(past, s.Roster()))
}

func explain(report landing.BalancerReport, s keeper.Snapshot, q landing.StatusRequest) (landing.BalancerReport, error) {
	caller, err := netip.ParseAddr(q.CallerAddress())
	if err != nil {
		return report, trace.BadParameter("caller: %v", err)
	}
	service, err := netip.ParseAddrPort(q.ServiceAddress())
	if err != nil {
		return report, trace.BadParameter("service: %v", err)
	}
	key := landing.FlowKey{}.
		WithSourceAddress(address.ToUint32(caller)).
		WithSourcePort(q.CallerPort()).
		WithDestinationAddress(address.ToUint32(service.Addr())).
		WithDestinationPort(uint32(service.Port()))
	verdict, chain := s.View().Explain(key)
	switch v := verdict.(type) {
	case landing.Forward:
		return report.WithVerdict("forwarded").WithChain(chain...), nil
	case landing.Refuse:
		return report.WithVerdict("refused: " + v.Reason().String()), nil
	}
	return report, nil
}
