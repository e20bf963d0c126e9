// Package loader fetches the chunks that a root names and keeps them for others to fetch.
package loader

import (
	"context"
	"sync"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/control"
	"github.com/crocuslanding/crocuslanding/core/pkg/lists"
	"github.com/crocuslanding/crocuslanding/core/pkg/object"
	"github.com/crocuslanding/crocuslanding/core/pkg/platform"
)

// Source is where chunks are fetched from.
//
//sumtype:decl
type Source interface {
	isSource()
}

// Peer is a balancer as a source.
type Peer struct {
	Client *control.Client
}

// Platform is the platform as a source.
type Platform struct {
	Client *platform.Client
}

func (Peer) isSource()     {}
func (Platform) isSource() {}

// Loader keeps the chunks of the newest lists. Its methods may be called from several goroutines.
type Loader struct {
	mu     sync.Mutex
	chunks map[string][]byte
	newest uint64
}

// New returns a loader that keeps no chunks yet.
func New() *Loader {
	return &Loader{chunks: map[string][]byte{}}
}

// Load returns the lists that root names. Missing chunks are fetched from the sources in turn.
// It returns the error of the last source when a chunk is still missing.
func (l *Loader) Load(ctx context.Context, root landing.ListsRoot, sources ...Source) (landing.Lists, error) {
	missing := l.missing(root)
	var err error
	for _, s := range sources {
		if len(missing) == 0 {
			break
		}
		err = l.fetch(ctx, s, missing)
		missing = l.missing(root)
	}
	if len(missing) > 0 {
		return landing.Lists{}, trace.ConnectionProblem(err, "%d chunks of root %d are missing", len(missing), root.Serial())
	}
	return l.join(root)
}

// Chunks returns those of the wanted chunks that the loader keeps.
func (l *Loader) Chunks(w landing.ChunkRequest) landing.ChunkResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	var chunks [][]byte
	for _, hash := range w.Hashes() {
		if b, ok := l.chunks[hash]; ok {
			chunks = append(chunks, b)
		}
	}
	return landing.ChunkResponse{}.WithChunks(chunks...)
}

// Retain drops all chunks but those of root. It does nothing when a newer root was given before.
func (l *Loader) Retain(root landing.ListsRoot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if root.Serial() < l.newest {
		return
	}
	l.newest = root.Serial()
	kept := map[string][]byte{}
	for _, hash := range root.Chunks() {
		if b, ok := l.chunks[hash]; ok {
			kept[hash] = b
		}
	}
	l.chunks = kept
}

func (l *Loader) missing(root landing.ListsRoot) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var hashes []string
	for _, hash := range root.Chunks() {
		if _, ok := l.chunks[hash]; !ok {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

func (l *Loader) fetch(ctx context.Context, s Source, hashes []string) error {
	switch s := s.(type) {
	case Peer:
		return l.fetchFromPeer(ctx, s, hashes)
	case Platform:
		return l.fetchFromPlatform(ctx, s, hashes)
	}
	return trace.BadParameter("no source")
}

func (l *Loader) fetchFromPeer(ctx context.Context, p Peer, hashes []string) error {
	parts, err := p.Client.Fetch(ctx, landing.ChunkRequest{}.WithHashes(hashes...))
	if err != nil {
		return err
	}
	for _, b := range parts.Chunks() {
		l.keep(object.Hash(b), b)
	}
	return nil
}

func (l *Loader) fetchFromPlatform(ctx context.Context, p Platform, hashes []string) error {
	for _, hash := range hashes {
		o, err := p.Client.Get(ctx, object.ChunkName(hash))
		if err != nil {
			return err
		}
		l.keep(object.Hash(o.Value()), o.Value())
	}
	return nil
}

func (l *Loader) keep(hash string, b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chunks[hash] = b
}

func (l *Loader) join(root landing.ListsRoot) (landing.Lists, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var chunks []landing.ListsChunk
	for _, hash := range root.Chunks() {
		c, err := object.DecodeChunk(hash, l.chunks[hash])
		if err != nil {
			return landing.Lists{}, err
		}
		chunks = append(chunks, c)
	}
	return lists.Join(chunks), nil
}
