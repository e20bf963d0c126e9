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

// Server implements the generated gRPC server interface on top of a Service.
type Server struct {
	landingpb.UnimplementedControlServer
	announce kitgrpc.Handler
	gossip   kitgrpc.Handler
	fetch    kitgrpc.Handler
	status   kitgrpc.Handler
}

// NewServer returns a Server that passes calls to s.
func NewServer(s Service) *Server {
	return &Server{
		announce: kitgrpc.NewServer(newAnnounceEndpoint(s), decodeHeartbeat, encodeStateUpdate),
		gossip:   kitgrpc.NewServer(newGossipEndpoint(s), decodeGossipRequest, encodeStateUpdate),
		fetch:    kitgrpc.NewServer(newFetchEndpoint(s), decodeChunkRequest, encodeChunkResponse),
		status:   kitgrpc.NewServer(newStatusEndpoint(s), decodeStatusRequest, encodeBalancerReport),
	}
}

// NewGRPCServer returns a gRPC server that serves s. It authenticates clients with creds.
func NewGRPCServer(creds credentials.TransportCredentials, s Service) *grpc.Server {
	server := grpc.NewServer(
		grpc.Creds(creds),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	)
	landingpb.RegisterControlServer(server, NewServer(s))
	return server
}

// Announce serves the Announce call of the gRPC service.
func (s *Server) Announce(ctx context.Context, m *landingpb.SidecarHeartbeat) (*landingpb.StateUpdate, error) {
	_, response, err := s.announce.ServeGRPC(ctx, m)
	if err != nil {
		return nil, err
	}
	return response.(*landingpb.StateUpdate), nil
}

// Gossip serves the Gossip call of the gRPC service.
func (s *Server) Gossip(ctx context.Context, m *landingpb.GossipRequest) (*landingpb.StateUpdate, error) {
	_, response, err := s.gossip.ServeGRPC(ctx, m)
	if err != nil {
		return nil, err
	}
	return response.(*landingpb.StateUpdate), nil
}

// Fetch serves the Fetch call of the gRPC service.
func (s *Server) Fetch(ctx context.Context, m *landingpb.ChunkRequest) (*landingpb.ChunkResponse, error) {
	_, response, err := s.fetch.ServeGRPC(ctx, m)
	if err != nil {
		return nil, err
	}
	return response.(*landingpb.ChunkResponse), nil
}

// Status serves the Status call of the gRPC service.
func (s *Server) Status(ctx context.Context, m *landingpb.StatusRequest) (*landingpb.BalancerReport, error) {
	_, response, err := s.status.ServeGRPC(ctx, m)
	if err != nil {
		return nil, err
	}
	return response.(*landingpb.BalancerReport), nil
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

func decodeGossipRequest(_ context.Context, m any) (any, error) {
	return codec.DecodeGossipRequest(m.(*landingpb.GossipRequest)), nil
}

func decodeChunkRequest(_ context.Context, m any) (any, error) {
	return codec.DecodeChunkRequest(m.(*landingpb.ChunkRequest)), nil
}

func decodeStatusRequest(_ context.Context, m any) (any, error) {
	return codec.DecodeStatusRequest(m.(*landingpb.StatusRequest)), nil
}

func encodeStateUpdate(_ context.Context, v any) (any, error) {
	return codec.EncodeStateUpdate(v.(landing.StateUpdate)), nil
}

func encodeChunkResponse(_ context.Context, v any) (any, error) {
	return codec.EncodeChunkResponse(v.(landing.ChunkResponse)), nil
}

func encodeBalancerReport(_ context.Context, v any) (any, error) {
	return codec.EncodeBalancerReport(v.(landing.BalancerReport)), nil
}
