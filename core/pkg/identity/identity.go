// Package identity proves to other processes of the fleet who a process is, by mutual TLS. Certificate,
// key and authority are read again when their files change, so that keys are replaced without a restart.
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

// checkInterval is the least time between two looks at the files.
const checkInterval = time.Second

// New returns the credentials for control connections. An empty identity stands for
// connections that are neither encrypted nor authenticated. Peers that are refused are counted.
// It returns an error when a file cannot be read or does not hold what it should.
func New(id landing.Identity, counters *counter.Set) (credentials.TransportCredentials, error) {
	if id == (landing.Identity{}) {
		return insecure.NewCredentials(), nil
	}
	f := &files{identity: id}
	if err := f.read(); err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:           tls.VersionTLS13,
		ClientAuth:           tls.RequireAnyClientCert,
		InsecureSkipVerify:   true, // names are not checked, since processes are reached by IP; verify checks the chain
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.certificate() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return f.certificate() },
		VerifyConnection:     f.verify,
	}
	return &counted{TransportCredentials: credentials.NewTLS(config), counters: counters}, nil
}

// files is the content of the files of an identity.
type files struct {
	identity landing.Identity
	mu       sync.Mutex
	checked  time.Time
	modified time.Time
	pair     *tls.Certificate
	roots    *x509.CertPool
}

func (f *files) certificate() (*tls.Certificate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	return f.pair, nil
}

// verify accepts a peer whose certificate an authority of the fleet has signed.
func (f *files) verify(state tls.ConnectionState) error {
	f.mu.Lock()
	f.refresh()
	roots := f.roots
	f.mu.Unlock()
	if len(state.PeerCertificates) == 0 {
		return trace.AccessDenied("peer has no certificate")
	}
	between := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return trace.AccessDenied("peer: %v", err)
	}
	return nil
}

// refresh reads the files again when one has changed. Files that cannot be read leave all as it was.
func (f *files) refresh() {
	now := time.Now()
	if now.Sub(f.checked) < checkInterval {
		return
	}
	f.checked = now
	if !f.lastChange().After(f.modified) {
		return
	}
	_ = f.read()
}

func (f *files) read() error {
	modified := f.lastChange()
	pair, err := tls.LoadX509KeyPair(f.identity.Certificate(), f.identity.Key())
	if err != nil {
		return trace.Wrap(err)
	}
	pem, err := os.ReadFile(f.identity.Authority())
	if err != nil {
		return trace.Wrap(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return trace.BadParameter("%s holds no certificate", f.identity.Authority())
	}
	f.pair, f.roots, f.modified = &pair, roots, modified
	return nil
}

func (f *files) lastChange() time.Time {
	last := time.Time{}
	for _, path := range []string{f.identity.Certificate(), f.identity.Key(), f.identity.Authority()} {
		info, err := os.Stat(path)
		if err == nil && info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last
}

// counted counts the peers that are refused.
type counted struct {
	credentials.TransportCredentials
	counters *counter.Set
}

// ServerHandshake authenticates a client.
func (c *counted) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secure, info, err := c.TransportCredentials.ServerHandshake(conn)
	if err != nil {
		c.counters.CountRefusal(landing.RefusalPeer)
	}
	return secure, info, err
}

// ClientHandshake authenticates a server.
func (c *counted) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secure, info, err := c.TransportCredentials.ClientHandshake(ctx, authority, conn)
	if err != nil {
		c.counters.CountRefusal(landing.RefusalPeer)
	}
	return secure, info, err
}

// Clone returns a copy.
func (c *counted) Clone() credentials.TransportCredentials {
	return &counted{TransportCredentials: c.TransportCredentials.Clone(), counters: c.counters}
}
