// Package loader fetches the chunks of the lists (services, customers and plans) and stores them, so that other
// processes can fetch them from this one. The root of the lists is a small object that names the chunks.
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

// Source is a process from which chunks are fetched.
//
//sumtype:decl
type Source interface {
	isSource()
}

// Peer is a balancer as a source of chunks.
type Peer struct {
	// Client is the client of the balancer's control service.
	Client *control.Client
}

// Platform is the platform as a source of chunks.
type Platform struct {
	// Client is the client of the platform's object API.
	Client *platform.Client
}

func (Peer) isSource()     {}
func (Platform) isSource() {}

// Loader stores chunks of the lists. Retain limits them to those of the newest lists. Its methods may be called from
// several goroutines.
type Loader struct {
	mu           sync.Mutex
	chunkByHash  map[string][]byte
	newestSerial uint64
}

// New returns a loader that has no chunks.
func New() *Loader {
	return &Loader{chunkByHash: map[string][]byte{}}
}

// Load returns the lists whose chunks root names. Chunks that the loader lacks are fetched from the sources, one source
// after the other, until no chunk is missing. When chunks are missing after the last source, it returns
// trace.ConnectionProblem with the error of that source. It returns trace.BadParameter when a chunk cannot be decoded.
func (l *Loader) Load(ctx context.Context, root landing.ListsRoot, sources ...Source) (landing.Lists, error) {
	missing := l.missingHashes(root)
	var err error
	for _, s := range sources {
		if len(missing) == 0 {
			break
		}
		err = l.fetch(ctx, s, missing)
		missing = l.missingHashes(root)
	}
	if len(missing) > 0 {
		return landing.Lists{}, trace.ConnectionProblem(err, "%d chunks of root %d are missing", len(missing), root.Serial())
	}
	return l.decodeLists(root)
}

// Chunks returns those of the requested chunks that the loader has.
func (l *Loader) Chunks(r landing.ChunkRequest) landing.ChunkResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	var chunks [][]byte
	for _, hash := range r.Hashes() {
		if b, ok := l.chunkByHash[hash]; ok {
			chunks = append(chunks, b)
		}
	}
	return landing.ChunkResponse{}.WithChunks(chunks...)
}

// Retain removes all chunks that root does not name. It does nothing when it was called with a newer root before.
func (l *Loader) Retain(root landing.ListsRoot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if root.Serial() < l.newestSerial {
		return
	}
	l.newestSerial = root.Serial()
	kept := map[string][]byte{}
	for _, hash := range root.Chunks() {
		if b, ok := l.chunkByHash[hash]; ok {
			kept[hash] = b
		}
	}
	l.chunkByHash = kept
}

func (l *Loader) missingHashes(root landing.ListsRoot) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var hashes []string
	for _, hash := range root.Chunks() {
		if _, ok := l.chunkByHash[hash]; !ok {
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
	return trace.BadParameter("unknown type of chunk source")
}

func (l *Loader) fetchFromPeer(ctx context.Context, p Peer, hashes []string) error {
	response, err := p.Client.Fetch(ctx, landing.ChunkRequest{}.WithHashes(hashes...))
	if err != nil {
		return err
	}
	for _, b := range response.Chunks() {
		l.store(object.Hash(b), b)
	}
	return nil
}

func (l *Loader) fetchFromPlatform(ctx context.Context, p Platform, hashes []string) error {
	for _, hash := range hashes {
		o, err := p.Client.Get(ctx, object.ChunkName(hash))
		if err != nil {
			return err
		}
		l.store(object.Hash(o.Value()), o.Value())
	}
	return nil
}

func (l *Loader) store(hash string, b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chunkByHash[hash] = b
}

func (l *Loader) decodeLists(root landing.ListsRoot) (landing.Lists, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var chunks []landing.ListsChunk
	for _, hash := range root.Chunks() {
		c, err := object.DecodeChunk(hash, l.chunkByHash[hash])
		if err != nil {
			return landing.Lists{}, err
		}
		chunks = append(chunks, c)
	}
	return lists.Join(chunks), nil
}
