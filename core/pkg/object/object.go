// Package object defines the names and the encoding of the objects that the system stores in the platform, a service
// outside the fleet that stores versioned objects. Each encoded object begins with a checksum.
package object

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/crocuslanding/crocuslanding/core/gen/codec"
	"github.com/crocuslanding/crocuslanding/core/gen/landing"
	"github.com/crocuslanding/crocuslanding/core/gen/landingpb"
)

const (
	// RootName is the name of the object that contains the root of the lists in force.
	RootName = "root"
	// MarksName is the name of the object that contains all exclusion marks.
	MarksName = "marks"
	// KeyringName is the name of the object that contains the keyring.
	KeyringName = "keys"

	chunkPrefix    = "chunk-"
	pastRootPrefix = "past-"
	rosterPrefix   = "roster-"
	leasePrefix    = "lease-"

	checksumBytes = 8
)

// RosterName returns the name of the object that contains the roster of a region.
func RosterName(region string) string {
	return rosterPrefix + region
}

// LeaseName returns the name of the object that contains the lease for writing the roster of a region.
func LeaseName(region string) string {
	return leasePrefix + region
}

// ChunkName returns the name of the object that contains the chunk (a part of the lists) with this hash.
func ChunkName(hash string) string {
	return chunkPrefix + hash
}

// PastRootName returns the name of the object that contains the past root with this hash, a root of the lists that was
// in force earlier.
func PastRootName(hash string) string {
	return pastRootPrefix + hash
}

// Hash returns the hexadecimal SHA-256 hash of an encoded object. Chunks and past roots are named by it.
func Hash(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:])
}

// EncodeRoot returns the encoding of the root. Equal roots have equal encodings.
func EncodeRoot(r landing.ListsRoot) []byte {
	return encode(codec.EncodeListsRoot(r))
}

// DecodeRoot returns the root encoded in b. It returns trace.BadParameter when b cannot be decoded.
func DecodeRoot(b []byte) (landing.ListsRoot, error) {
	m := &landingpb.ListsRoot{}
	if err := decode(b, m); err != nil {
		return landing.ListsRoot{}, err
	}
	return codec.DecodeListsRoot(m), nil
}

// EncodeChunk returns the encoding of the chunk. Equal chunks have equal encodings.
func EncodeChunk(c landing.ListsChunk) []byte {
	return encode(codec.EncodeListsChunk(c))
}

// DecodeChunk returns the chunk encoded in b. It returns trace.BadParameter when b does not have this hash or cannot be
// decoded.
func DecodeChunk(hash string, b []byte) (landing.ListsChunk, error) {
	if Hash(b) != hash {
		return landing.ListsChunk{}, trace.BadParameter("content of chunk %s does not match its hash", hash)
	}
	m := &landingpb.ListsChunk{}
	if err := decode(b, m); err != nil {
		return landing.ListsChunk{}, err
	}
	return codec.DecodeListsChunk(m), nil
}

// EncodeMarks returns the encoding of the exclusion marks.
func EncodeMarks(v landing.ExclusionMarks) []byte {
	return encode(codec.EncodeExclusionMarks(v))
}

// DecodeMarks returns the exclusion marks encoded in b. It returns trace.BadParameter when b cannot be decoded.
func DecodeMarks(b []byte) (landing.ExclusionMarks, error) {
	m := &landingpb.ExclusionMarks{}
	if err := decode(b, m); err != nil {
		return landing.ExclusionMarks{}, err
	}
	return codec.DecodeExclusionMarks(m), nil
}

// EncodeKeyring returns the encoding of the keyring.
func EncodeKeyring(r landing.Keyring) []byte {
	return encode(codec.EncodeKeyring(r))
}

// DecodeKeyring returns the keyring encoded in b. It returns trace.BadParameter when b cannot be decoded.
func DecodeKeyring(b []byte) (landing.Keyring, error) {
	m := &landingpb.Keyring{}
	if err := decode(b, m); err != nil {
		return landing.Keyring{}, err
	}
	return codec.DecodeKeyring(m), nil
}

// EncodeRoster returns the encoding of the roster.
func EncodeRoster(r landing.Roster) []byte {
	return encode(codec.EncodeRoster(r))
}

// DecodeRoster returns the roster encoded in b. It returns trace.BadParameter when b cannot be decoded.
func DecodeRoster(b []byte) (landing.Roster, error) {
	m := &landingpb.Roster{}
	if err := decode(b, m); err != nil {
		return landing.Roster{}, err
	}
	return codec.DecodeRoster(m), nil
}

// EncodeLease returns the encoding of the lease.
func EncodeLease(l landing.Lease) []byte {
	return encode(codec.EncodeLease(l))
}

// DecodeLease returns the lease encoded in b. It returns trace.BadParameter when b cannot be decoded.
func DecodeLease(b []byte) (landing.Lease, error) {
	m := &landingpb.Lease{}
	if err := decode(b, m); err != nil {
		return landing.Lease{}, err
	}
	return codec.DecodeLease(m), nil
}

// encode returns the checksum of the encoding of m, followed by the encoding. It panics when m cannot be encoded, for
// example when a string is not valid UTF-8.
func encode(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(make([]byte, checksumBytes), m)
	if err != nil {
		panic(err)
	}
	binary.BigEndian.PutUint64(b, xxhash.Sum64(b[checksumBytes:]))
	return b
}

// decode decodes b into m. It returns trace.BadParameter when the checksum is wrong or m cannot be decoded. The
// checksum detects garbage, which could otherwise be decoded as an object without fields.
func decode(b []byte, m proto.Message) error {
	if len(b) < checksumBytes || binary.BigEndian.Uint64(b) != xxhash.Sum64(b[checksumBytes:]) {
		return trace.BadParameter("object has a wrong checksum")
	}
	if err := proto.Unmarshal(b[checksumBytes:], m); err != nil {
		return trace.BadParameter("object cannot be decoded: %v", err)
	}
	return nil
}
