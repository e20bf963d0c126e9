package identity

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/control"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
)

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "fleet"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{certificate: certificate, key: key}
}

// write writes an identity signed by a into folder; its holder trusts the authorities named.
func (a *authority) write(t *testing.T, folder string, trusted ...*authority) landing.Identity {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	var roots []byte
	for _, other := range trusted {
		roots = append(roots, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: other.certificate.Raw})...)
	}
	id := landing.Identity{}.
		WithCertificate(filepath.Join(folder, "cert.pem")).
		WithKey(filepath.Join(folder, "key.pem")).
		WithAuthority(filepath.Join(folder, "authority.pem"))
	writeFile(t, id.Certificate(), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	writeFile(t, id.Key(), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: secret}))
	writeFile(t, id.Authority(), roots)
	return id
}

func writeFile(t *testing.T, path string, b []byte) {
	t.Helper()
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
}

// quiet is a service that answers nothing.
type quiet struct{}

func (quiet) Announce(context.Context, landing.SidecarHeartbeat) (landing.StateUpdate, error) {
	return landing.StateUpdate{}, nil
}

func (quiet) Gossip(context.Context, landing.GossipRequest) (landing.StateUpdate, error) {
	return landing.StateUpdate{}, nil
}

func (quiet) Fetch(context.Context, landing.ChunkRequest) (landing.ChunkResponse, error) {
	return landing.ChunkResponse{}, nil
}

func (quiet) Status(context.Context, landing.StatusRequest) (landing.BalancerReport, error) {
	return landing.BalancerReport{}, nil
}

// serve serves with this identity and returns the address and the counters.
func serve(t *testing.T, id landing.Identity) (string, *counter.Set) {
	t.Helper()
	counters := counter.New()
	creds, err := New(id, counters)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := control.NewGRPCServer(creds, quiet{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String(), counters
}

// call makes one call over a new connection with this identity.
func call(t *testing.T, id landing.Identity, address string) error {
	t.Helper()
	creds, err := New(id, counter.New())
	if err != nil {
		t.Fatal(err)
	}
	client, err := control.NewClient(address, creds)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	_, err = client.Status(context.Background(), landing.StatusRequest{})
	return err
}

func TestPeersOfTheFleetTalkAndOthersGetNothingAndAreCounted(t *testing.T) {
	is := is.New(t)
	fleet, foreign := newAuthority(t), newAuthority(t)
	address, counters := serve(t, fleet.write(t, t.TempDir(), fleet))
	refused := counters.Counter("refused." + landing.RefusalPeer.String())

	is.NoErr(call(t, fleet.write(t, t.TempDir(), fleet), address))
	is.Equal(refused.Count(), int64(0))
	is.True(call(t, foreign.write(t, t.TempDir(), fleet), address) != nil)
	is.True(call(t, landing.Identity{}, address) != nil)
	is.True(refused.Count() >= 2)
}

func TestKeysAreReplacedWithoutARestart(t *testing.T) {
	is := is.New(t)
	before, after := newAuthority(t), newAuthority(t)
	folder := t.TempDir()
	address, _ := serve(t, before.write(t, folder, before))
	newcomer := after.write(t, t.TempDir(), after, before)
	is.True(call(t, newcomer, address) != nil)

	id := before.write(t, folder, before, after)
	later := time.Now().Add(time.Minute)
	is.NoErr(os.Chtimes(id.Authority(), later, later))
	deadline := time.Now().Add(10 * checkInterval)
	err := call(t, newcomer, address)
	for err != nil && time.Now().Before(deadline) {
		err = call(t, newcomer, address)
	}
	is.NoErr(err)
}

func TestMissingFileIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := New(landing.Identity{}.WithCertificate("none"), counter.New())
	is.True(err != nil)
}
