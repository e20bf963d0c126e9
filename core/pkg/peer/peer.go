// Package peer lets a process that starts while the platform is away learn rules, exclusions and enrolled sidecars
// from a balancer.
package peer

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/gen/wire"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
)

const (
	path = "/picture"
	// timeout bounds one exchange between neighbors, whose round trip is a few milliseconds.
	timeout = 800 * time.Millisecond
	// maxBytes is more than the rules and the roll of the largest deployment.
	maxBytes = 8 << 20
)

// NewHandler returns the handler that serves the picture of this process. Without one it answers 503.
func NewHandler(picture func() (landing.PlatformSnapshot, bool)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		p, isKnown := picture()
		if !isKnown {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write(wire.AppendPlatformSnapshot(nil, p))
	})
	return mux
}

// Client asks balancers for their picture.
type Client struct {
	own   string
	port  uint16
	seeds atomic.Pointer[[]netip.Addr]
	http  *http.Client
}

// NewClient returns a client of the process at this fleet address that asks the balancers at the IPs of seeds.
func NewClient(fleet string, seeds []string) *Client {
	c := &Client{http: &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: timeout}).DialContext},
	}}
	if own, err := netip.ParseAddrPort(fleet); err == nil {
		c.own, c.port = fleet, own.Port()
	}
	c.SetSeeds(seeds)
	return c
}

// SetSeeds replaces the balancers that are asked.
func (c *Client) SetSeeds(seeds []string) {
	var list []netip.Addr
	for _, s := range seeds {
		if a, err := netip.ParseAddrPort(s); err == nil {
			list = append(list, a.Addr())
		}
	}
	c.seeds.Store(&list)
}

// FetchSnapshot returns the picture of one of the processes at these addresses, or else of a seed, each asked in random order.
// It returns trace.ConnectionProblem when none answers.
func (c *Client) FetchSnapshot(ctx context.Context, hops []uint64) (landing.PlatformSnapshot, error) {
	var addresses []string
	for _, i := range rand.Perm(len(hops)) {
		addresses = append(addresses, address.UnpackAddrPort(hops[i]).String())
	}
	seeds := *c.seeds.Load()
	for _, i := range rand.Perm(len(seeds)) {
		addresses = append(addresses, netip.AddrPortFrom(seeds[i], c.port).String())
	}
	var last error = trace.ConnectionProblem(nil, "no balancer is known")
	for _, a := range addresses {
		if a == c.own {
			continue
		}
		p, err := c.ask(ctx, a)
		if err == nil {
			return p, nil
		}
		last = err
	}
	return landing.PlatformSnapshot{}, last
}

func (c *Client) ask(ctx context.Context, at string) (landing.PlatformSnapshot, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+path, nil)
	if err != nil {
		return landing.PlatformSnapshot{}, trace.Wrap(err)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return landing.PlatformSnapshot{}, trace.ConnectionProblem(err, "picture of %s", at)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes))
	if err != nil || resp.StatusCode != http.StatusOK {
		return landing.PlatformSnapshot{}, trace.ConnectionProblem(err, "picture of %s: %s", at, resp.Status)
	}
	return wire.ParsePlatformSnapshot(body)
}
