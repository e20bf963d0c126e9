package control

import (
	"context"

	"github.com/go-kit/kit/endpoint"
	kitgrpc "github.com/go-kit/kit/transport/grpc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"github.com/crocuslanding/crocuslanding/core/gen/codec"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/gen/landingpb"
)

// Server serves a Service over gRPC.
type Server struct {
	landingpb.UnimplementedControlServer
	announce kitgrpc.Handler
	gossip   kitgrpc.Handler
	fetch    kitgrpc.Handler
	status   kitgrpc.Handler
}

// NewServer returns the gRPC server side of s.
func NewServer(s Service) *Server {
	return &Server{
		announce: kitgrpc.NewServer(newAnnounceEndpoint(s), decodeHeartbeat, encodeNews),
		gossip:   kitgrpc.NewServer(newGossipEndpoint(s), decodeExchange, encodeNews),
		fetch:    kitgrpc.NewServer(newFetchEndpoint(s), decodeWant, encodeParts),
		status:   kitgrpc.NewServer(newStatusEndpoint(s), decodeQuery, encodeReport),
	}
}

// NewGRPCServer returns a gRPC server that serves s to clients with these credentials.
func NewGRPCServer(creds credentials.TransportCredentials, s Service) *grpc.Server {
	server := grpc.NewServer(
		grpc.Creds(creds),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	)
	landingpb.RegisterControlServer(server, NewServer(s))
	return server
}

// Announce serves the call of this name.
func (s *Server) Announce(ctx context.Context, m *landingpb.SidecarHeartbeat) (*landingpb.StateUpdate, error) {
	_, answer, err := s.announce.ServeGRPC(ctx, m)
	if err != nil {
		return nil, err
	}
	return answer.(*landingpb.StateUpdate), nil
}

// Gossip serves the call of this name.
func (s *Server) Gossip(ctx context.Context, m *landingpb.GossipRequest) (*landingpb.StateUpdate, error) {
	_, answer, err := s.gossip.ServeGRPC(ctx, m)
	if err != nil {
		return nil, err
	}
	return answer.(*landingpb.StateUpdate), nil
}

// Fetch serves the call of this name.
func (s *Server) Fetch(ctx context.Context, m *landingpb.ChunkRequest) (*landingpb.ChunkResponse, error) {
	_, answer, err := s.fetch.ServeGRPC(ctx, m)
	if err != nil {
		return nil, err
	}
	return answer.(*landingpb.ChunkResponse), nil
}

// Status serves the call of this name.
func (s *Server) Status(ctx context.Context, m *landingpb.StatusRequest) (*landingpb.BalancerReport, error) {
	_, answer, err := s.status.ServeGRPC(ctx, m)
	if err != nil {
		return nil, err
	}
	return answer.(*landingpb.BalancerReport), nil
}

func newAnnounceEndpoint(s Service) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return s.Announce(ctx, request.(landing.SidecarHeartbeat))
	}
}

func newGossipEndpoint(s Service) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return s.Gossip(ctx, request.(landing.GossipRequest))
	}
}

func newFetchEndpoint(s Service) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return s.Fetch(ctx, request.(landing.ChunkRequest))
	}
}

func newStatusEndpoint(s Service) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return s.Status(ctx, request.(landing.StatusRequest))
	}
}

func decodeHeartbeat(_ context.Context, m any) (any, error) {
	return codec.DecodeSidecarHeartbeat(m.(*landingpb.SidecarHeartbeat)), nil
}

func decodeExchange(_ context.Context, m any) (any, error) {
	return codec.DecodeGossipRequest(m.(*landingpb.GossipRequest)), nil
}

func decodeWant(_ context.Context, m any) (any, error) {
	return codec.DecodeChunkRequest(m.(*landingpb.ChunkRequest)), nil
}

func decodeQuery(_ context.Context, m any) (any, error) {
	return codec.DecodeStatusRequest(m.(*landingpb.StatusRequest)), nil
}

func encodeNews(_ context.Context, v any) (any, error) {
	return codec.EncodeStateUpdate(v.(landing.StateUpdate)), nil
}

func encodeParts(_ context.Context, v any) (any, error) {
	return codec.EncodeChunkResponse(v.(landing.ChunkResponse)), nil
}

func encodeReport(_ context.Context, v any) (any, error) {
	return codec.EncodeBalancerReport(v.(landing.BalancerReport)), nil
}
