// Package config reads and writes the lists that the platform holds.
package config

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/pkg/lists"
	"github.com/crocuslanding/crocuslanding/core/pkg/loader"
	"github.com/crocuslanding/crocuslanding/core/pkg/object"
	"github.com/crocuslanding/crocuslanding/core/pkg/platform"
)

// Config is the lists in force, as read from the platform.
type Config struct {
	root    landing.ListsRoot
	lists   landing.Lists
	version uint64
}

// Root returns the root.
func (c Config) Root() landing.ListsRoot {
	return c.root
}

// Lists returns the lists.
func (c Config) Lists() landing.Lists {
	return c.lists
}

// Read returns the lists in force; empty lists when there are none yet.
// It returns trace.ConnectionProblem when the platform cannot be asked.
func Read(ctx context.Context, client *platform.Client) (Config, error) {
	o, err := client.Get(ctx, object.RootName)
	if trace.IsNotFound(err) {
		return Config{}, nil
	}
	if err != nil {
		return Config{}, err
	}
	root, err := object.DecodeRoot(o.Value())
	if err != nil {
		return Config{}, err
	}
	l, err := loader.New().Load(ctx, root, loader.Platform{Client: client})
	if err != nil {
		return Config{}, err
	}
	return Config{root: root, lists: l, version: o.Version()}, nil
}

// Write puts next into force in place of base and returns the new root. It returns trace.CompareFailed
// when the lists in force are no longer base. A write whose answer was lost is read back.
func Write(ctx context.Context, client *platform.Client, base Config, next landing.Lists, author string, now time.Time) (landing.ListsRoot, error) {
	hashes, err := writeChunks(ctx, client, next)
	if err != nil {
		return landing.ListsRoot{}, err
	}
	previous := ""
	if base.version != 0 {
		if previous, err = keepPast(ctx, client, base.root); err != nil {
			return landing.ListsRoot{}, err
		}
	}
	root := landing.ListsRoot{}.
		WithSerial(base.root.Serial() + 1).
		WithChunks(hashes...).
		WithAuthor(author).
		WithMade(now.UTC()).
		WithPrevious(previous)
	return root, writeRoot(ctx, client, base.version, root)
}

func writeChunks(ctx context.Context, client *platform.Client, l landing.Lists) ([]string, error) {
	var hashes []string
	for _, c := range lists.Split(l) {
		value := object.EncodeChunk(c)
		hash := object.Hash(value)
		if err := writeOnce(ctx, client, object.ChunkName(hash), value); err != nil {
			return nil, err
		}
		hashes = append(hashes, hash)
	}
	return hashes, nil
}

// keepPast keeps the root under its hash for the history and returns the hash.
func keepPast(ctx context.Context, client *platform.Client, root landing.ListsRoot) (string, error) {
	value := object.EncodeRoot(root)
	hash := object.Hash(value)
	return hash, writeOnce(ctx, client, object.PastRootName(hash), value)
}

// writeOnce writes an object whose name determines its value, so one that exists is as good.
// The object is read back, since an answer can be lost or wrong.
func writeOnce(ctx context.Context, client *platform.Client, name string, value []byte) error {
	_, err := client.Put(ctx, name, 0, value)
	if trace.IsCompareFailed(err) {
		return nil
	}
	if err != nil && !trace.IsConnectionProblem(err) {
		return err
	}
	o, readErr := client.Get(ctx, name)
	if readErr != nil {
		return trace.ConnectionProblem(readErr, "object %s is not known to be written", name)
	}
	if object.Hash(o.Value()) != object.Hash(value) {
		return trace.ConnectionProblem(err, "object %s was not written", name)
	}
	return nil
}

func writeRoot(ctx context.Context, client *platform.Client, version uint64, root landing.ListsRoot) error {
	value := object.EncodeRoot(root)
	_, err := client.Put(ctx, object.RootName, version, value)
	if err != nil && !trace.IsConnectionProblem(err) {
		return err
	}
	return confirmRoot(ctx, client, version, value)
}

// confirmRoot reads whether the root was accepted, since an answer can be lost or wrong. An operator who
// changed it since has kept it among the past ones first.
func confirmRoot(ctx context.Context, client *platform.Client, version uint64, value []byte) error {
	o, err := client.Get(ctx, object.RootName)
	if err != nil {
		return unknownOutcome(err)
	}
	hash := object.Hash(value)
	if object.Hash(o.Value()) == hash {
		return nil
	}
	if _, err = object.DecodeRoot(o.Value()); err != nil || o.Version() == version {
		return unknownOutcome(err)
	}
	o, err = client.Get(ctx, object.PastRootName(hash))
	switch {
	case err == nil && object.Hash(o.Value()) == hash:
		return nil
	case trace.IsNotFound(err):
		return trace.CompareFailed("the lists were changed by another operator")
	default:
		return unknownOutcome(err)
	}
}

func unknownOutcome(err error) error {
	return trace.ConnectionProblem(err, "it is not known whether the change was accepted; ask with landingctl history")
}

// History returns the roots from the newest back, limit at most.
func History(ctx context.Context, client *platform.Client, limit int) ([]landing.ListsRoot, error) {
	c, err := Read(ctx, client)
	if err != nil || c.version == 0 {
		return nil, err
	}
	all := []landing.ListsRoot{c.root}
	for len(all) < limit && all[len(all)-1].Previous() != "" {
		o, err := client.Get(ctx, object.PastRootName(all[len(all)-1].Previous()))
		if err != nil {
			return all, err
		}
		root, err := object.DecodeRoot(o.Value())
		if err != nil {
			return all, err
		}
		all = append(all, root)
	}
	return all, nil
}
