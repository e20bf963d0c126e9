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
	"net/http/httptrace"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/gen/wire"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
	"github.com/crocuslanding/crocuslanding/core/pkg/common"
	"github.com/crocuslanding/crocuslanding/core/pkg/transfer"
)

const (
	snapshotPath = "/picture"
	// requestTimeout limits the time until a process responds, and the time without progress of its response. The round
	// trip between processes of the fleet takes a few milliseconds.
	requestTimeout = 800 * time.Millisecond
	// hedgeDelay is the time after which the next process is asked while the one before has not responded. Many processes
	// may have lost power at the same time.
	hedgeDelay = requestTimeout / 4
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

// FetchSnapshot returns the snapshot of the first process that responds. It asks the processes at the addresses in
// peers in random order, then the seeds in random order, and does not wait long for any of them. Addresses in peers are
// packed, see address.PackAddrPort. When no process responds, it returns the error of the last attempt. That is
// trace.ConnectionProblem unless the snapshot cannot be decoded.
func (c *Client) FetchSnapshot(ctx context.Context, peers []uint64) (landing.PlatformSnapshot, error) {
	var addresses []string
	for _, i := range rand.Perm(len(peers)) {
		addresses = append(addresses, address.UnpackAddrPort(peers[i]).String())
	}
	seedIPs := *c.seedIPs.Load()
	for _, i := range rand.Perm(len(seedIPs)) {
		addresses = append(addresses, netip.AddrPortFrom(seedIPs[i], c.fleetPort).String())
	}
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == c.ownAddress })
	if len(addresses) == 0 {
		return landing.PlatformSnapshot{}, trace.ConnectionProblem(nil, "there is no other process to fetch a snapshot from")
	}
	return c.fetchFromAny(ctx, addresses)
}

// fetched is the result of a request to one process.
type fetched struct {
	snapshot landing.PlatformSnapshot
	err      error
}

// fetchFromAny returns the first snapshot that one of the processes at these addresses returns. It asks them one after the
// other, the next one as soon as a request has failed or hedgeDelay has passed. Once a process responds it asks no further
// one, so that a slow link carries one snapshot at a time. When all requests fail, it returns the last error.
func (c *Client) fetchFromAny(ctx context.Context, addresses []string) (landing.PlatformSnapshot, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the requests that are still waiting
	results := make(chan fetched, len(addresses))
	responding := make(chan struct{}, 1)
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { common.Notify(responding) }})
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	asked := 0
	askNext := func() {
		if asked == len(addresses) {
			return
		}
		address := addresses[asked]
		asked++
		timer.Reset(hedgeDelay)
		go func() {
			snapshot, err := c.fetchFrom(traced, address)
			results <- fetched{snapshot, err}
		}()
	}
	askNext()
	for failed := 0; ; {
		select {
		case r := <-results:
			if r.err == nil {
				return r.snapshot, nil
			}
			failed++
			if failed == len(addresses) {
				return landing.PlatformSnapshot{}, r.err
			}
			askNext()
		case <-responding:
			timer.Stop()
		case <-timer.C:
			askNext()
		}
	}
}

func (c *Client) fetchFrom(ctx context.Context, address string) (landing.PlatformSnapshot, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+snapshotPath, nil)
	if err != nil {
		return landing.PlatformSnapshot{}, trace.Wrap(err)
	}
	response, err := transfer.Do(c.http, r, transfer.Limits{Response: requestTimeout, Stall: requestTimeout, Bytes: maxSnapshotBytes})
	if err != nil {
		return landing.PlatformSnapshot{}, trace.ConnectionProblem(err, "fetch snapshot from %s: %v", address, err)
	}
	if response.Status != http.StatusOK {
		return landing.PlatformSnapshot{}, trace.ConnectionProblem(nil, "fetch snapshot from %s: status %d", address, response.Status)
	}
	return wire.ParsePlatformSnapshot(response.Body)
}
