// Package serve implements the control service that a balancer offers to sidecars, other balancers and landingctl. It
// answers calls from the newest snapshot of the control thread.
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

// maxListedBalancers limits the balancers that are sent to a sidecar: its home balancer and the next ones in its ranking,
// to which it turns when its home balancer fails.
const maxListedBalancers = 5

// Server implements control.Service for a balancer.
type Server struct {
	telemetry common.Telemetry
	control   *keeper.ControlThread
	loader    *loader.Loader
}

// New returns a server that answers from the snapshots of the control thread and from the chunks that the loader keeps.
func New(telemetry common.Telemetry, control *keeper.ControlThread, l *loader.Loader) *Server {
	return &Server{telemetry: telemetry, control: control, loader: l}
}

// Announce handles a heartbeat of a sidecar and returns the control state that the sidecar lacks. It returns
// trace.BadParameter when the heartbeat's target has no instance, service or zone.
func (s *Server) Announce(_ context.Context, heartbeat landing.SidecarHeartbeat) (landing.StateUpdate, error) {
	target := heartbeat.Target()
	if target.Instance() == "" || target.Service() == "" || target.Zone() == "" {
		s.telemetry.Counters().CountRefusal(landing.RefusalMalformed)
		return landing.StateUpdate{}, trace.BadParameter("heartbeat has no instance, service or zone")
	}
	s.control.Post(landing.HeartbeatReceived{}.WithTarget(target).WithKeyringSerial(heartbeat.Digest().Keys()).WithReceivedAt(time.Now()))
	snapshot := s.control.Snapshot()
	update := updateFor(snapshot, heartbeat.Digest())
	weights, index := roster.ServingWeights(snapshot.Roster(), target.Service(), target.Instance())
	if index >= 0 {
		update = update.WithTargetWeights(weights...).WithWeightIndex(uint32(index))
	}
	current, found := roster.Find(snapshot.Roster(), target.Instance())
	// The roster lists this running process as left. Only a higher change number of the target corrects that.
	if found && current.Phase() == landing.PhaseLeft && current.Incarnation() == target.Incarnation() {
		update = update.WithChangeToExceed(current.Change())
	}
	// A sidecar does not use the roster itself, only the weights above and the balancers below.
	update = update.WithRoster(landing.Roster{}).WithRosterDelta(landing.RosterDelta{})
	if heartbeat.Digest().Roster() == snapshot.Roster().Serial() {
		return update, nil
	}
	ranked := roster.RankBalancers(snapshot.Roster().Members(), target.Instance())
	return update.WithBalancers(ranked[:min(len(ranked), maxListedBalancers)]...), nil
}

// Gossip handles the state that another balancer sends, and returns the state that the sender lacks.
func (s *Server) Gossip(_ context.Context, request landing.GossipRequest) (landing.StateUpdate, error) {
	if request.Marks().MarksLen() > 0 {
		s.control.Post(landing.ExclusionMarksReceived{}.WithMarks(request.Marks()))
	}
	s.control.Post(landing.PeerStateReceived{}.WithSender(request.Sender()).WithTargetUpdates(request.TargetUpdates()...).WithReceivedAt(time.Now()))
	return updateFor(s.control.Snapshot(), request.Digest()), nil
}

// Fetch returns those of the requested chunks that the balancer has.
func (s *Server) Fetch(_ context.Context, request landing.ChunkRequest) (landing.ChunkResponse, error) {
	return s.loader.Chunks(request), nil
}

// Status returns the state of the balancer. When the request names a caller, the report also contains the decision about
// the flow from that caller. Status returns trace.BadParameter when an address of the flow is invalid.
func (s *Server) Status(_ context.Context, request landing.StatusRequest) (landing.BalancerReport, error) {
	snapshot := s.control.Snapshot()
	report := landing.BalancerReport{}.
		WithInstance(snapshot.Membership().Self().Instance()).
		WithDigest(snapshot.Digest()).
		WithRoster(snapshot.Roster()).
		WithMarks(snapshot.View().Marks()).
		WithHolder(snapshot.Membership().RegionState().Lease().Holder()).
		WithCounters(s.telemetry.Counters().Values()...).
		WithKeys(lowestKeyringSerial(snapshot))
	if request.CallerAddress() == "" {
		return report, nil
	}
	return explainFlow(report, snapshot, request)
}

// lowestKeyringSerial returns the lowest serial number of the keyring in force at the balancer and at the sidecars that
// send it heartbeats.
func lowestKeyringSerial(s keeper.Snapshot) uint64 {
	lowest := s.Keyring().Serial()
	for _, heartbeat := range s.Membership().TargetHeartbeats() {
		lowest = min(lowest, heartbeat.KeyringSerial())
	}
	return lowest
}

// updateFor returns the state that is newer in this balancer's snapshot than at the requester, and the exclusion marks if
// they differ.
func updateFor(s keeper.Snapshot, requester landing.VersionDigest) landing.StateUpdate {
	own := s.Digest()
	update := landing.StateUpdate{}.WithDigest(own)
	if own.Root() > requester.Root() {
		update = update.WithRoot(s.Root())
	}
	if own.Roster() > requester.Roster() {
		update = withRoster(update, s, requester.Roster())
	}
	if own.Keys() > requester.Keys() {
		update = update.WithKeyring(s.Keyring())
	}
	if own.Marks() != requester.Marks() {
		update = update.WithMarks(s.View().Marks())
	}
	return update
}

// withRoster returns the update with the difference between the requester's roster, which has this serial number, and the
// current one. When the requester's roster is not kept, it returns the update with the whole current roster.
func withRoster(update landing.StateUpdate, s keeper.Snapshot, serial uint64) landing.StateUpdate {
	previous, found := s.PreviousRoster(serial)
	if !found {
		return update.WithRoster(s.Roster())
	}
	return update.WithRosterDelta(roster.Diff(previous, s.Roster()))
}

// explainFlow returns the report with the decision about the request's flow and, if the flow is forwarded, its chain of
// sidecars.
func explainFlow(report landing.BalancerReport, s keeper.Snapshot, request landing.StatusRequest) (landing.BalancerReport, error) {
	caller, err := netip.ParseAddr(request.CallerAddress())
	if err != nil {
		return report, trace.BadParameter("invalid caller address: %v", err)
	}
	service, err := netip.ParseAddrPort(request.ServiceAddress())
	if err != nil {
		return report, trace.BadParameter("invalid service address: %v", err)
	}
	key := landing.FlowKey{}.
		WithSourceAddress(address.ToUint32(caller)).
		WithSourcePort(request.CallerPort()).
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
