// Package control carries the control service between processes over gRPC.
package control

import (
	"context"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// Service is what a balancer serves to sidecars, peers and landingctl.
type Service interface {
	// Announce takes a heartbeat of a sidecar.
	Announce(ctx context.Context, h landing.SidecarHeartbeat) (landing.StateUpdate, error)
	// Gossip exchanges versions and news with a peer.
	Gossip(ctx context.Context, x landing.GossipRequest) (landing.StateUpdate, error)
	// Fetch returns the chunks of the lists that the balancer has.
	Fetch(ctx context.Context, w landing.ChunkRequest) (landing.ChunkResponse, error)
	// Status returns the state of the balancer.
	Status(ctx context.Context, q landing.StatusRequest) (landing.BalancerReport, error)
}
