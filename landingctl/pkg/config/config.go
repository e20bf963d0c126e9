// Package config reads and writes the lists, the configuration that operators edit. The platform, a service that keeps
// versioned objects, stores them in chunks. The root is the small object that names the chunks of the lists in force;
// previous roots are kept for the history.
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

// Config holds the lists in force as read from the platform. The zero value means that there are no lists yet.
type Config struct {
	root  landing.ListsRoot
	lists landing.Lists
	// version is the version that the platform gave the root object, unlike the serial number, which is part of the root.
	// It is 0 if there is no root.
	version uint64
}

// Root returns the root of the lists.
func (c Config) Root() landing.ListsRoot {
	return c.root
}

// Lists returns the lists.
func (c Config) Lists() landing.Lists {
	return c.lists
}

// Read returns the lists in force, or a zero Config if there are none yet. It returns trace.ConnectionProblem if the
// platform cannot be reached, and another error if the lists cannot be decoded.
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

// Write puts next into force in place of base and returns the new root. It returns trace.CompareFailed if the lists in
// force are no longer base. If the response to a write is lost, Write reads the object to find out whether the write took
// effect, and returns trace.ConnectionProblem if it cannot find that out.
func Write(ctx context.Context, client *platform.Client, base Config, next landing.Lists, author string, now time.Time) (landing.ListsRoot, error) {
	hashes, err := writeChunks(ctx, client, next)
	if err != nil {
		return landing.ListsRoot{}, err
	}
	previous := ""
	if base.version != 0 {
		if previous, err = archiveRoot(ctx, client, base.root); err != nil {
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

// writeChunks splits the lists into chunks, writes each under its hash, and returns the hashes in order.
func writeChunks(ctx context.Context, client *platform.Client, l landing.Lists) ([]string, error) {
	var hashes []string
	for _, c := range lists.Split(l) {
		value := object.EncodeChunk(c)
		hash := object.Hash(value)
		if err := writeImmutable(ctx, client, object.ChunkName(hash), value); err != nil {
			return nil, err
		}
		hashes = append(hashes, hash)
	}
	return hashes, nil
}

// archiveRoot writes the root under its hash, for the history, and returns the hash.
func archiveRoot(ctx context.Context, client *platform.Client, root landing.ListsRoot) (string, error) {
	value := object.EncodeRoot(root)
	hash := object.Hash(value)
	return hash, writeImmutable(ctx, client, object.PastRootName(hash), value)
}

// writeImmutable writes an object whose name contains the hash of its value. If an object of this name exists, it has
// the same value and nothing needs to be written. A written object is read back, because the response to a write can be
// lost or wrong.
func writeImmutable(ctx context.Context, client *platform.Client, name string, value []byte) error {
	_, err := client.Put(ctx, name, 0, value)
	if trace.IsCompareFailed(err) {
		return nil
	}
	if err != nil && !trace.IsConnectionProblem(err) {
		return err
	}
	o, readErr := client.Get(ctx, name)
	if readErr != nil {
		return trace.ConnectionProblem(readErr, "object %s cannot be read back, it may not have been written", name)
	}
	if object.Hash(o.Value()) != object.Hash(value) {
		return trace.ConnectionProblem(err, "object %s was not written", name)
	}
	return nil
}

// writeRoot replaces the root object if it still has this version; 0 means that there is no root yet.
func writeRoot(ctx context.Context, client *platform.Client, version uint64, root landing.ListsRoot) error {
	value := object.EncodeRoot(root)
	_, err := client.Put(ctx, object.RootName, version, value)
	if err != nil && !trace.IsConnectionProblem(err) {
		return err
	}
	return verifyRoot(ctx, client, version, value)
}

// verifyRoot reads the root to find out whether value was written in place of this version, because the response to a
// write can be lost or wrong. If another operator has replaced the written root since, it is among the archived roots,
// because a root is archived before it is replaced.
func verifyRoot(ctx context.Context, client *platform.Client, version uint64, value []byte) error {
	o, err := client.Get(ctx, object.RootName)
	if err != nil {
		return unknownOutcomeError(err)
	}
	hash := object.Hash(value)
	if object.Hash(o.Value()) == hash {
		return nil
	}
	if _, err = object.DecodeRoot(o.Value()); err != nil || o.Version() == version {
		return unknownOutcomeError(err)
	}
	o, err = client.Get(ctx, object.PastRootName(hash))
	switch {
	case err == nil && object.Hash(o.Value()) == hash:
		return nil
	case trace.IsNotFound(err):
		return trace.CompareFailed("the lists in force were changed by another operator")
	default:
		return unknownOutcomeError(err)
	}
}

// unknownOutcomeError returns the trace.ConnectionProblem for a change that may or may not have been accepted.
func unknownOutcomeError(err error) error {
	return trace.ConnectionProblem(err, "it is not known whether the change was accepted; check with landingctl history")
}

// History returns the root in force and its predecessors, newest first, at most limit roots. If a predecessor cannot be
// read, it returns the roots up to there with the error.
func History(ctx context.Context, client *platform.Client, limit int) ([]landing.ListsRoot, error) {
	c, err := Read(ctx, client)
	if err != nil || c.version == 0 {
		return nil, err
	}
	roots := []landing.ListsRoot{c.root}
	for len(roots) < limit && roots[len(roots)-1].Previous() != "" {
		o, err := client.Get(ctx, object.PastRootName(roots[len(roots)-1].Previous()))
		if err != nil {
			return roots, err
		}
		root, err := object.DecodeRoot(o.Value())
		if err != nil {
			return roots, err
		}
		roots = append(roots, root)
	}
	return roots, nil
}
