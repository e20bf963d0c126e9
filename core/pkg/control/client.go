package control

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"
	kitgrpc "github.com/go-kit/kit/transport/grpc"
	"github.com/gravitational/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"github.com/crocuslanding/crocuslanding/core/gen/codec"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/gen/landingpb"
)

const (
	// CallTimeout is the timeout of each call to another process.
	CallTimeout = 2 * time.Second

	serviceName       = "landing.v1.Control"
	keepaliveInterval = 20 * time.Second
	keepaliveTimeout  = 3 * time.Second
	initialBackoff    = 100 * time.Millisecond
	maxBackoff        = 2 * time.Second
	backoffFactor     = 1.6
)

// Client calls the control service of one balancer over gRPC. It implements Service.
type Client struct {
	conn     *grpc.ClientConn
	announce endpoint.Endpoint
	gossip   endpoint.Endpoint
	fetch    endpoint.Endpoint
	status   endpoint.Endpoint
}

// NewClient returns a client of the balancer at this TCP address, an IP and port. It does not connect yet.
// It returns an error when the address cannot be used.
func NewClient(address string, creds credentials.TransportCredentials) (*Client, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(creds),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout, PermitWithoutStream: true}),
		grpc.WithConnectParams(connectParams()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
	)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Client{
		conn:     conn,
		announce: kitgrpc.NewClient(conn, serviceName, "Announce", encodeHeartbeat, decodeStateUpdate, &landingpb.StateUpdate{}).Endpoint(),
		gossip:   kitgrpc.NewClient(conn, serviceName, "Gossip", encodeGossipRequest, decodeStateUpdate, &landingpb.StateUpdate{}).Endpoint(),
		fetch:    kitgrpc.NewClient(conn, serviceName, "Fetch", encodeChunkRequest, decodeChunkResponse, &landingpb.ChunkResponse{}).Endpoint(),
		status:   kitgrpc.NewClient(conn, serviceName, "Status", encodeStatusRequest, decodeBalancerReport, &landingpb.BalancerReport{}).Endpoint(),
	}, nil
}

func connectParams() grpc.ConnectParams {
	return grpc.ConnectParams{
		Backoff: backoff.Config{
			BaseDelay:  initialBackoff,
			Multiplier: backoffFactor,
			MaxDelay:   maxBackoff,
		},
		MinConnectTimeout: CallTimeout,
	}
}

// Announce sends a heartbeat of a sidecar and returns the control state that the sidecar lacks.
// It returns trace.ConnectionProblem when the call fails or takes longer than CallTimeout.
func (c *Client) Announce(ctx context.Context, h landing.SidecarHeartbeat) (landing.StateUpdate, error) {
	response, err := call(ctx, c.announce, h)
	if err != nil {
		return landing.StateUpdate{}, err
	}
	return response.(landing.StateUpdate), nil
}

// Gossip sends the control state of a balancer or of landingctl and returns what the sender lacks.
// It returns trace.ConnectionProblem when the call fails or takes longer than CallTimeout.
func (c *Client) Gossip(ctx context.Context, r landing.GossipRequest) (landing.StateUpdate, error) {
	response, err := call(ctx, c.gossip, r)
	if err != nil {
		return landing.StateUpdate{}, err
	}
	return response.(landing.StateUpdate), nil
}

// Fetch returns those of the requested chunks of the lists that the balancer has.
// It returns trace.ConnectionProblem when the call fails or takes longer than CallTimeout.
func (c *Client) Fetch(ctx context.Context, r landing.ChunkRequest) (landing.ChunkResponse, error) {
	response, err := call(ctx, c.fetch, r)
	if err != nil {
		return landing.ChunkResponse{}, err
	}
	return response.(landing.ChunkResponse), nil
}

// Status returns the state of the balancer.
// It returns trace.ConnectionProblem when the call fails or takes longer than CallTimeout.
func (c *Client) Status(ctx context.Context, r landing.StatusRequest) (landing.BalancerReport, error) {
	response, err := call(ctx, c.status, r)
	if err != nil {
		return landing.BalancerReport{}, err
	}
	return response.(landing.BalancerReport), nil
}

// Close closes the connection. Calls in progress fail.
func (c *Client) Close() {
	_ = c.conn.Close()
}

func call(ctx context.Context, e endpoint.Endpoint, request any) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	response, err := e(ctx, request)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "control call failed")
	}
	return response, nil
}

func encodeHeartbeat(_ context.Context, v any) (any, error) {
	return codec.EncodeSidecarHeartbeat(v.(landing.SidecarHeartbeat)), nil
}

func encodeGossipRequest(_ context.Context, v any) (any, error) {
	return codec.EncodeGossipRequest(v.(landing.GossipRequest)), nil
}

func encodeChunkRequest(_ context.Context, v any) (any, error) {
	return codec.EncodeChunkRequest(v.(landing.ChunkRequest)), nil
}

func encodeStatusRequest(_ context.Context, v any) (any, error) {
	return codec.EncodeStatusRequest(v.(landing.StatusRequest)), nil
}

func decodeStateUpdate(_ context.Context, m any) (any, error) {
	return codec.DecodeStateUpdate(m.(*landingpb.StateUpdate)), nil
}

func decodeChunkResponse(_ context.Context, m any) (any, error) {
	return codec.DecodeChunkResponse(m.(*landingpb.ChunkResponse)), nil
}

func decodeBalancerReport(_ context.Context, m any) (any, error) {
	return codec.DecodeBalancerReport(m.(*landingpb.BalancerReport)), nil
}
