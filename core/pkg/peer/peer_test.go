package peer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/gen/wire"
	"github.com/crocuslanding/crocuslanding/core/pkg/address"
)

// applyTime is the shortest time within which a change of the routing rules must be in force on any deployment.
const applyTime = 3 * time.Second

// serveSnapshot serves a snapshot with rules of this revision on a loopback address and returns the address.
func serveSnapshot(t *testing.T, listenAddress string, revision uint64, w func(http.Handler) http.Handler) netip.AddrPort {
	t.Helper()
	snapshot := landing.PlatformSnapshot{}.WithRules(landing.RoutingRules{}.WithRevision(revision))
	server := httptest.NewUnstartedServer(w(NewHandler(func() (landing.PlatformSnapshot, bool) { return snapshot, true })))
	_ = server.Listener.Close()
	listener, err := net.Listen("tcp", listenAddress)
	is.New(t).NoErr(err)
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(listener.Addr().String())
}

// unresponsive returns the address of a process that accepts connections and does not respond.
func unresponsive(t *testing.T) uint64 {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	return address.PackAddrPort(netip.MustParseAddrPort(listener.Addr().String()))
}

func unchanged(h http.Handler) http.Handler { return h }

// Guards against a process that is behind for seconds because it asks one lost process after the other.
func TestFetchSnapshot_UnresponsivePeersDelayLittle(t *testing.T) {
	is := is.New(t)
	seed := serveSnapshot(t, "127.0.0.2:0", 7, unchanged)
	client := NewClient(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), seed.Port()).String(), []string{seed.String()})
	var peers []uint64
	for range 8 {
		peers = append(peers, unresponsive(t))
	}
	start := time.Now()
	snapshot, err := client.FetchSnapshot(context.Background(), peers)
	is.NoErr(err)
	is.Equal(snapshot.Rules().Revision(), uint64(7))
	is.True(time.Since(start) < applyTime)
}

// Guards against a snapshot over a slow link that is given up although it makes progress, and against further snapshots
// over the same link at the same time.
func TestFetchSnapshot_OverSlowLink(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int32
	inParts := func(http.Handler) http.Handler {
		body := wire.AppendPlatformSnapshot(nil, landing.PlatformSnapshot{}.WithRules(landing.RoutingRules{}.WithRevision(7)))
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			requests.Add(1)
			for _, b := range body {
				_, _ = w.Write([]byte{b})
				w.(http.Flusher).Flush()
				time.Sleep(requestTimeout / 2)
			}
		})
	}
	var peers []uint64
	for range 3 {
		peers = append(peers, address.PackAddrPort(serveSnapshot(t, "127.0.0.1:0", 7, inParts)))
	}
	snapshot, err := NewClient("127.0.0.1:1", nil).FetchSnapshot(context.Background(), peers)
	is.NoErr(err)
	is.Equal(snapshot.Rules().Revision(), uint64(7))
	is.Equal(requests.Load(), int32(1))
}

func TestFetchSnapshot_FailsWithoutPeers(t *testing.T) {
	is := is.New(t)
	_, err := NewClient("127.0.0.1:1", nil).FetchSnapshot(context.Background(), nil)
	is.True(err != nil)
	refused := address.PackAddrPort(netip.MustParseAddrPort("127.0.0.1:1"))
	_, err = NewClient("127.0.0.1:2", nil).FetchSnapshot(context.Background(), []uint64{refused, refused})
	is.True(err != nil)
}
