// Package identity authenticates the processes of the fleet to each other with mutual TLS. Certificate, private key and
// CA certificates are read again when their files change, so that they can be replaced without a restart.
package identity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/counter"
)

// checkInterval is the minimum time between two checks whether the files have changed. Checks are made during
// handshakes.
const checkInterval = time.Second

// New returns the credentials for control connections. With an empty identity, connections are neither encrypted nor
// authenticated. Failed handshakes are counted as refusals with the reason landing.RefusalPeer.
// It returns an error when a file cannot be read or has no valid content.
func New(id landing.Identity, counters *counter.Set) (credentials.TransportCredentials, error) {
	if id == (landing.Identity{}) {
		return insecure.NewCredentials(), nil
	}
	f := &keyFiles{identity: id}
	if err := f.load(); err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:           tls.VersionTLS13,
		ClientAuth:           tls.RequireAnyClientCert,
		InsecureSkipVerify:   true, // host names are not checked, since processes are reached by IP; verify checks the certificate chain
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.certificate() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return f.certificate() },
		VerifyConnection:     f.verify,
	}
	return &countingCredentials{TransportCredentials: credentials.NewTLS(config), counters: counters}, nil
}

// keyFiles is the content of the files that an identity names. lastCheck is the time at which the files were last
// checked for changes. modTime is the latest modification time of the files when they were last loaded. mu guards all
// fields but identity.
type keyFiles struct {
	identity     landing.Identity
	mu           sync.Mutex
	lastCheck    time.Time
	modTime      time.Time
	keyPair      *tls.Certificate
	trustedRoots *x509.CertPool
}

func (f *keyFiles) certificate() (*tls.Certificate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reloadIfChanged()
	return f.keyPair, nil
}

// verify returns trace.AccessDenied unless the peer's certificate is signed by one of the trusted CAs.
func (f *keyFiles) verify(state tls.ConnectionState) error {
	f.mu.Lock()
	f.reloadIfChanged()
	roots := f.trustedRoots
	f.mu.Unlock()
	if len(state.PeerCertificates) == 0 {
		return trace.AccessDenied("peer has no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return trace.AccessDenied("peer's certificate is not accepted: %v", err)
	}
	return nil
}

// reloadIfChanged reads the files again when one of them has changed. When that fails, the previous content stays in
// use. The caller must hold mu.
func (f *keyFiles) reloadIfChanged() {
	now := time.Now()
	if now.Sub(f.lastCheck) < checkInterval {
		return
	}
	f.lastCheck = now
	if !f.latestModTime().After(f.modTime) {
		return
	}
	_ = f.load()
}

func (f *keyFiles) load() error {
	modTime := f.latestModTime()
	keyPair, err := tls.LoadX509KeyPair(f.identity.Certificate(), f.identity.Key())
	if err != nil {
		return trace.Wrap(err)
	}
	caPEM, err := os.ReadFile(f.identity.Authority())
	if err != nil {
		return trace.Wrap(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(caPEM) {
		return trace.BadParameter("%s contains no PEM certificate", f.identity.Authority())
	}
	f.keyPair, f.trustedRoots, f.modTime = &keyPair, roots, modTime
	return nil
}

func (f *keyFiles) latestModTime() time.Time {
	latest := time.Time{}
	for _, path := range []string{f.identity.Certificate(), f.identity.Key(), f.identity.Authority()} {
		info, err := os.Stat(path)
		if err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// countingCredentials counts failed handshakes as refusals.
type countingCredentials struct {
	credentials.TransportCredentials
	counters *counter.Set
}

// ServerHandshake authenticates the client of an accepted connection.
func (c *countingCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secureConn, info, err := c.TransportCredentials.ServerHandshake(conn)
	if err != nil {
		c.counters.CountRefusal(landing.RefusalPeer)
	}
	return secureConn, info, err
}

// ClientHandshake authenticates the server of an outgoing connection.
func (c *countingCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secureConn, info, err := c.TransportCredentials.ClientHandshake(ctx, authority, conn)
	if err != nil {
		c.counters.CountRefusal(landing.RefusalPeer)
	}
	return secureConn, info, err
}

// Clone returns a copy that increments the same counters.
func (c *countingCredentials) Clone() credentials.TransportCredentials {
	return &countingCredentials{TransportCredentials: c.TransportCredentials.Clone(), counters: c.counters}
}
