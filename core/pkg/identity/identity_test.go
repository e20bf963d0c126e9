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

// testCA is a certificate authority.
type testCA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
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
	return &testCA{certificate: certificate, key: key}
}

// writeIdentity writes the files of an identity into folder: a new key, a certificate for it signed by ca, and the
// certificates of the trusted CAs.
func (ca *testCA) writeIdentity(t *testing.T, folder string, trusted ...*testCA) landing.Identity {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.certificate, key.Public(), ca.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
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
	writeFile(t, id.Key(), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}))
	writeFile(t, id.Authority(), roots)
	return id
}

func writeFile(t *testing.T, path string, b []byte) {
	t.Helper()
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
}

// emptyService answers each call with a zero value.
type emptyService struct{}

func (emptyService) Announce(context.Context, landing.SidecarHeartbeat) (landing.StateUpdate, error) {
	return landing.StateUpdate{}, nil
}

func (emptyService) Gossip(context.Context, landing.GossipRequest) (landing.StateUpdate, error) {
	return landing.StateUpdate{}, nil
}

func (emptyService) Fetch(context.Context, landing.ChunkRequest) (landing.ChunkResponse, error) {
	return landing.ChunkResponse{}, nil
}

func (emptyService) Status(context.Context, landing.StatusRequest) (landing.BalancerReport, error) {
	return landing.BalancerReport{}, nil
}

// serve starts a control server with this identity and returns its address, its counters and a function that stops it.
// The function returns after all handshakes have ended.
func serve(t *testing.T, id landing.Identity) (string, *counter.Set, func()) {
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
	server := control.NewGRPCServer(creds, emptyService{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String(), counters, server.Stop
}

// call makes one Status call over a new connection with this identity.
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

func TestHandshakeRejectsAndCountsForeignPeers(t *testing.T) {
	is := is.New(t)
	fleetCA, foreignCA := newTestCA(t), newTestCA(t)
	address, counters, stop := serve(t, fleetCA.writeIdentity(t, t.TempDir(), fleetCA))
	refused := counters.Counter("refused." + landing.RefusalPeer.String())

	is.NoErr(call(t, fleetCA.writeIdentity(t, t.TempDir(), fleetCA), address))
	is.Equal(refused.Count(), int64(0))
	is.True(call(t, foreignCA.writeIdentity(t, t.TempDir(), fleetCA), address) != nil)
	is.True(call(t, landing.Identity{}, address) != nil)
	// A call can end before the server has counted its failed handshake.
	stop()
	is.True(refused.Count() >= 2)
}

func TestChangedAuthorityIsReloadedWithoutRestart(t *testing.T) {
	is := is.New(t)
	oldCA, newCA := newTestCA(t), newTestCA(t)
	folder := t.TempDir()
	address, _, _ := serve(t, oldCA.writeIdentity(t, folder, oldCA))
	newIdentity := newCA.writeIdentity(t, t.TempDir(), newCA, oldCA)
	is.True(call(t, newIdentity, address) != nil)

	id := oldCA.writeIdentity(t, folder, oldCA, newCA)
	newModTime := time.Now().Add(time.Minute)
	is.NoErr(os.Chtimes(id.Authority(), newModTime, newModTime))
	deadline := time.Now().Add(10 * checkInterval)
	err := call(t, newIdentity, address)
	for err != nil && time.Now().Before(deadline) {
		err = call(t, newIdentity, address)
	}
	is.NoErr(err)
}

func TestNewReportsMissingFile(t *testing.T) {
	is := is.New(t)
	_, err := New(landing.Identity{}.WithCertificate("none"), counter.New())
	is.True(err != nil)
}
