// Package control contains the client and the server of the control service, with which the processes of the fleet,
// balancers and sidecars, exchange control state over gRPC. Control state is the roster, the root (which names the
// chunks of the lists of services, customers and plans), the exclusion marks and the keyring. The command-line tool of
// the operators, landingctl, uses the service to send exclusion marks and to read the reports of balancers.
package control

import (
	"context"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// Service is the control service that a balancer provides to sidecars, other balancers and landingctl.
type Service interface {
	// Announce accepts a heartbeat of a sidecar and returns the control state that the sidecar lacks.
	Announce(ctx context.Context, h landing.SidecarHeartbeat) (landing.StateUpdate, error)
	// Gossip accepts exclusion marks and target updates of another balancer, or exclusion marks of landingctl, and
	// returns the control state that the sender lacks.
	Gossip(ctx context.Context, r landing.GossipRequest) (landing.StateUpdate, error)
	// Fetch returns those of the requested chunks of the lists that the balancer has.
	Fetch(ctx context.Context, r landing.ChunkRequest) (landing.ChunkResponse, error)
	// Status returns a report about the balancer.
	Status(ctx context.Context, r landing.StatusRequest) (landing.BalancerReport, error)
}
