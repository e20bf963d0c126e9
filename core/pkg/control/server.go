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
func (s *Server) Announce(ctx context.Context, m *landingpb.Heartbeat) (*landingpb.News, error) {
	_, answer, err := s.announce.ServeGRPC(ctx, m)
	if err != nil {
		return nil, err
	}
	return answer.(*landingpb.News), nil
}

// Gossip serves the call of this name.
func (s *Server) Gossip(ctx context.Context, m *landingpb.Exchange) (*landingpb.News, error) {
	_, answer, err := s.gossip.ServeGRPC(ctx, m)
	if err != nil {
		return nil, err
	}
	return answer.(*landingpb.News), nil
}

// Fetch serves the call of this name.
func (s *Server) Fetch(ctx context.Context, m *landingpb.Want) (*landingpb.Parts, error) {
	_, answer, err := s.fetch.ServeGRPC(ctx, m)
	if err != nil {
		return nil, err
	}
	return answer.(*landingpb.Parts), nil
}

// Status serves the call of this name.
func (s *Server) Status(ctx context.Context, m *landingpb.Query) (*landingpb.Report, error) {
	_, answer, err := s.status.ServeGRPC(ctx, m)
	if err != nil {
		return nil, err
	}
	return answer.(*landingpb.Report), nil
}

func newAnnounceEndpoint(s Service) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return s.Announce(ctx, request.(landing.Heartbeat))
	}
}

func newGossipEndpoint(s Service) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return s.Gossip(ctx, request.(landing.Exchange))
	}
}

func newFetchEndpoint(s Service) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return s.Fetch(ctx, request.(landing.Want))
	}
}

func newStatusEndpoint(s Service) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return s.Status(ctx, request.(landing.Query))
	}
}

func decodeHeartbeat(_ context.Context, m any) (any, error) {
	return codec.DecodeHeartbeat(m.(*landingpb.Heartbeat)), nil
}

func decodeExchange(_ context.Context, m any) (any, error) {
	return codec.DecodeExchange(m.(*landingpb.Exchange)), nil
}

func decodeWant(_ context.Context, m any) (any, error) {
	return codec.DecodeWant(m.(*landingpb.Want)), nil
}

func decodeQuery(_ context.Context, m any) (any, error) {
	return codec.DecodeQuery(m.(*landingpb.Query)), nil
}

func encodeNews(_ context.Context, v any) (any, error) {
	return codec.EncodeNews(v.(landing.News)), nil
}

func encodeParts(_ context.Context, v any) (any, error) {
	return codec.EncodeParts(v.(landing.Parts)), nil
}

func encodeReport(_ context.Context, v any) (any, error) {
	return codec.EncodeReport(v.(landing.Report)), nil
}
