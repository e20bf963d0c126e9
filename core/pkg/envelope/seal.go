package envelope

import (
	"encoding/binary"

	"github.com/dchest/siphash"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	// KeyBytes is the length of a key.
	KeyBytes = 16

	// taggedBytes is the length of the part of the packet that the tag covers: its headers.
	taggedBytes = 64
	tagBytes    = 8
	bufferBytes = MaxHeaderBytes + taggedBytes
)

// Keys are the keys of a keyring, ready for use. They are immutable.
type Keys struct {
	signing uint32
	secrets []secret
}

type secret struct {
	id   uint32
	low  uint64
	high uint64
}

// NewKeys returns the keys of r. An empty keyring stands for datagrams without tags.
func NewKeys(r landing.Keyring) *Keys {
	k := &Keys{signing: r.Signing()}
	for _, s := range r.Secrets() {
		k.secrets = append(k.secrets, newSecret(s))
	}
	if len(k.secrets) == 0 {
		k.secrets = []secret{{}}
	}
	return k
}

func newSecret(s landing.DatagramKey) secret {
	b := s.Key()
	if len(b) != KeyBytes {
		return secret{id: s.Number()}
	}
	return secret{
		id:   s.Number(),
		low:  binary.LittleEndian.Uint64(b),
		high: binary.LittleEndian.Uint64(b[KeyBytes/2:]),
	}
}

func (k *Keys) find(id uint32) (secret, bool) {
	for _, s := range k.secrets {
		if s.id == id {
			return s, true
		}
	}
	return secret{}, false
}

// Sign writes the tag with the signing key. It must follow every change of the header.
func (e Envelope) Sign(k *Keys) {
	s, found := k.find(k.signing)
	if !found {
		s = secret{}
	}
	binary.BigEndian.PutUint32(e.b[offsetKey:], s.id)
	binary.BigEndian.PutUint64(e.b[offsetTag:], e.tag(s))
}

// HasValidTag says whether the tag was made with a key that is accepted.
func (e Envelope) HasValidTag(k *Keys) bool {
	s, found := k.find(binary.BigEndian.Uint32(e.b[offsetKey:]))
	return found && e.tag(s) == binary.BigEndian.Uint64(e.b[offsetTag:])
}

// tag returns the tag over the header and the headers of the packet; 0 for the key that stands for no tag.
func (e Envelope) tag(s secret) uint64 {
	if s.id == 0 {
		return 0
	}
	var b [bufferBytes]byte
	n := copy(b[:], e.b[:min(headerBytes(e.b)+taggedBytes, len(e.b))])
	clear(b[offsetTag : offsetTag+tagBytes])
	return siphash.Hash(s.low, s.high, b[:n])
}
