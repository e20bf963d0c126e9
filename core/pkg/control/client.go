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
	// CallTimeout bounds each call to another process.
	CallTimeout = 2 * time.Second

	serviceName      = "landing.v1.Control"
	keepaliveTime    = 20 * time.Second
	keepaliveTimeout = 3 * time.Second
	backoffBase      = 100 * time.Millisecond
	backoffMax       = 2 * time.Second
	backoffFactor    = 1.6
)

// Client calls the control service of one balancer. It implements Service.
type Client struct {
	conn     *grpc.ClientConn
	announce endpoint.Endpoint
	gossip   endpoint.Endpoint
	fetch    endpoint.Endpoint
	status   endpoint.Endpoint
}

// NewClient returns a client of the balancer at this TCP address, an IP and port.
// It returns an error when the address cannot be used; it does not connect yet.
func NewClient(address string, creds credentials.TransportCredentials) (*Client, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(creds),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true}),
		grpc.WithConnectParams(connectParams()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
	)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Client{
		conn:     conn,
		announce: kitgrpc.NewClient(conn, serviceName, "Announce", encodeHeartbeat, decodeNews, &landingpb.StateUpdate{}).Endpoint(),
		gossip:   kitgrpc.NewClient(conn, serviceName, "Gossip", encodeExchange, decodeNews, &landingpb.StateUpdate{}).Endpoint(),
		fetch:    kitgrpc.NewClient(conn, serviceName, "Fetch", encodeWant, decodeParts, &landingpb.ChunkResponse{}).Endpoint(),
		status:   kitgrpc.NewClient(conn, serviceName, "Status", encodeQuery, decodeReport, &landingpb.BalancerReport{}).Endpoint(),
	}, nil
}

func connectParams() grpc.ConnectParams {
	return grpc.ConnectParams{
		Backoff: backoff.Config{
			BaseDelay:  backoffBase,
			Multiplier: backoffFactor,
			MaxDelay:   backoffMax,
		},
		MinConnectTimeout: CallTimeout,
	}
}

// Announce calls the balancer. It returns trace.ConnectionProblem when no answer came in time.
func (c *Client) Announce(ctx context.Context, h landing.SidecarHeartbeat) (landing.StateUpdate, error) {
	answer, err := call(ctx, c.announce, h)
	if err != nil {
		return landing.StateUpdate{}, err
	}
	return answer.(landing.StateUpdate), nil
}

// Gossip calls the balancer. It returns trace.ConnectionProblem when no answer came in time.
func (c *Client) Gossip(ctx context.Context, x landing.GossipRequest) (landing.StateUpdate, error) {
	answer, err := call(ctx, c.gossip, x)
	if err != nil {
		return landing.StateUpdate{}, err
	}
	return answer.(landing.StateUpdate), nil
}

// Fetch calls the balancer. It returns trace.ConnectionProblem when no answer came in time.
func (c *Client) Fetch(ctx context.Context, w landing.ChunkRequest) (landing.ChunkResponse, error) {
	answer, err := call(ctx, c.fetch, w)
	if err != nil {
		return landing.ChunkResponse{}, err
	}
	return answer.(landing.ChunkResponse), nil
}

// Status calls the balancer. It returns trace.ConnectionProblem when no answer came in time.
func (c *Client) Status(ctx context.Context, q landing.StatusRequest) (landing.BalancerReport, error) {
	answer, err := call(ctx, c.status, q)
	if err != nil {
		return landing.BalancerReport{}, err
	}
	return answer.(landing.BalancerReport), nil
}

// Close closes the connection.
func (c *Client) Close() {
	_ = c.conn.Close()
}

func call(ctx context.Context, e endpoint.Endpoint, request any) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	answer, err := e(ctx, request)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "control call")
	}
	return answer, nil
}

func encodeHeartbeat(_ context.Context, v any) (any, error) {
	return codec.EncodeSidecarHeartbeat(v.(landing.SidecarHeartbeat)), nil
}

func encodeExchange(_ context.Context, v any) (any, error) {
	return codec.EncodeGossipRequest(v.(landing.GossipRequest)), nil
}

func encodeWant(_ context.Context, v any) (any, error) {
	return codec.EncodeChunkRequest(v.(landing.ChunkRequest)), nil
}

func encodeQuery(_ context.Context, v any) (any, error) {
	return codec.EncodeStatusRequest(v.(landing.StatusRequest)), nil
}

func decodeNews(_ context.Context, m any) (any, error) {
	return codec.DecodeStateUpdate(m.(*landingpb.StateUpdate)), nil
}

func decodeParts(_ context.Context, m any) (any, error) {
	return codec.DecodeChunkResponse(m.(*landingpb.ChunkResponse)), nil
}

func decodeReport(_ context.Context, m any) (any, error) {
	return codec.DecodeBalancerReport(m.(*landingpb.BalancerReport)), nil
}
