// Package peer contains the HTTP client and handler with which a process reads a snapshot of the routing rules, zone
// exclusions and enrolled sidecars from another process of the fleet. They are stored in the platform, a service
// outside the fleet, where each enrolled sidecar has an entry. A process uses the client when it starts while the
// platform is unavailable, or when another process has newer objects.
package peer

import (
	"context"
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
	"github.com/crocuslanding/crocuslanding/core/pkg/transfer"
)

const (
	snapshotPath = "/picture"
	// requestTimeout limits the time until a process responds, and the time without progress of its response. The round
	// trip between processes of the fleet takes a few milliseconds.
	requestTimeout = 800 * time.Millisecond
	// maxSnapshotBytes is the largest size of a response. It exceeds the size of the routing rules and the list of
	// enrolled sidecars of the largest deployment.
	maxSnapshotBytes = 8 << 20
)

// NewHandler returns the HTTP handler that serves the snapshot of this process. It responds with status 503 while there
// is no snapshot, which the function snapshot reports by returning false.
func NewHandler(snapshot func() (landing.PlatformSnapshot, bool)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+snapshotPath, func(w http.ResponseWriter, _ *http.Request) {
		p, isAvailable := snapshot()
		if !isAvailable {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write(wire.AppendPlatformSnapshot(nil, p))
	})
	return mux
}

// Client fetches snapshots from other processes of the fleet.
type Client struct {
	ownAddress string
	fleetPort  uint16
	seedIPs    atomic.Pointer[[]netip.Addr]
	http       *http.Client
}

// NewClient returns a client for the process that serves its own snapshot at fleetAddress. The client never sends
// requests to that address. seeds are the addresses of some balancers, IP and port. Only the IP is used; the port is
// that of fleetAddress.
func NewClient(fleetAddress string, seeds []string) *Client {
	c := &Client{http: &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: requestTimeout}).DialContext},
	}}
	if own, err := netip.ParseAddrPort(fleetAddress); err == nil {
		c.ownAddress, c.fleetPort = fleetAddress, own.Port()
	}
	c.SetSeeds(seeds)
	return c
}

// SetSeeds replaces the seeds that were given to NewClient. Malformed addresses are ignored.
func (c *Client) SetSeeds(seeds []string) {
	var ips []netip.Addr
	for _, s := range seeds {
		if a, err := netip.ParseAddrPort(s); err == nil {
			ips = append(ips, a.Addr())
		}
	}
	c.seedIPs.Store(&ips)
}

// FetchSnapshot returns the snapshot of the first process that responds. It tries the processes at the addresses in
// peers in random order, then the seeds in random order. Addresses in peers are packed, see address.PackAddrPort.
// When no process responds, it returns the error of the last attempt. That is trace.ConnectionProblem unless the
// snapshot cannot be decoded.
func (c *Client) FetchSnapshot(ctx context.Context, peers []uint64) (landing.PlatformSnapshot, error) {
	var addresses []string
	for _, i := range rand.Perm(len(peers)) {
		addresses = append(addresses, address.UnpackAddrPort(peers[i]).String())
	}
	seedIPs := *c.seedIPs.Load()
	for _, i := range rand.Perm(len(seedIPs)) {
		addresses = append(addresses, netip.AddrPortFrom(seedIPs[i], c.fleetPort).String())
	}
	var lastErr error = trace.ConnectionProblem(nil, "there is no other process to fetch a snapshot from")
	for _, a := range addresses {
		if a == c.ownAddress {
			continue
		}
		p, err := c.fetchFrom(ctx, a)
		if err == nil {
			return p, nil
		}
		lastErr = err
	}
	return landing.PlatformSnapshot{}, lastErr
}

func (c *Client) fetchFrom(ctx context.Context, address string) (landing.PlatformSnapshot, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+snapshotPath, nil)
	if err != nil {
		return landing.PlatformSnapshot{}, trace.Wrap(err)
	}
	status, body, err := transfer.Do(c.http, r, transfer.Limits{Response: requestTimeout, Stall: requestTimeout, Bytes: maxSnapshotBytes})
	if err != nil {
		return landing.PlatformSnapshot{}, trace.ConnectionProblem(err, "fetch snapshot from %s: %v", address, err)
	}
	if status != http.StatusOK {
		return landing.PlatformSnapshot{}, trace.ConnectionProblem(nil, "fetch snapshot from %s: status %d", address, status)
	}
	return wire.ParsePlatformSnapshot(body)
}
