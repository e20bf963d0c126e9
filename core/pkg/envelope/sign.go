package envelope

import (
	"encoding/binary"

	"github.com/dchest/siphash"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

const (
	// KeyBytes is the length in bytes of a key.
	KeyBytes = 16

	// taggedPacketBytes is the length of the beginning of the packet that the authentication tag covers. It contains
	// the packet's IP and TCP headers unless they have more than 24 bytes of options.
	taggedPacketBytes = 64
	tagBytes          = 8
	tagInputBytes     = MaxHeaderBytes + taggedPacketBytes
)

// Keys are the decoded keys of a keyring. They are immutable.
type Keys struct {
	signingNumber uint32
	keys          []sipKey
}

// sipKey is a key of SipHash, the keyed hash with which authentication tags are computed.
type sipKey struct {
	number uint32
	low    uint64
	high   uint64
}

// NewKeys returns the keys of r. With an empty keyring, datagrams are sent without an authentication tag, and only
// datagrams without one are accepted.
func NewKeys(r landing.Keyring) *Keys {
	k := &Keys{signingNumber: r.Signing()}
	for _, secret := range r.Secrets() {
		k.keys = append(k.keys, newSipKey(secret))
	}
	if len(k.keys) == 0 {
		k.keys = []sipKey{{}} // key number 0
	}
	return k
}

// newSipKey returns the decoded key. When the secret does not consist of KeyBytes bytes, only the number is set. Key
// number 0 stands for datagrams without a tag and needs no secret.
func newSipKey(secret landing.DatagramKey) sipKey {
	b := secret.Key()
	if len(b) != KeyBytes {
		return sipKey{number: secret.Number()}
	}
	return sipKey{
		number: secret.Number(),
		low:    binary.LittleEndian.Uint64(b),
		high:   binary.LittleEndian.Uint64(b[KeyBytes/2:]),
	}
}

func (k *Keys) find(number uint32) (sipKey, bool) {
	for _, key := range k.keys {
		if key.number == number {
			return key, true
		}
	}
	return sipKey{}, false
}

// Sign computes the authentication tag with the signing key of k, and writes the tag and the number of the key. When k
// lacks the signing key, it writes 0 for both. Sign must be called after every change of the header or of the bytes of
// the packet that the tag covers.
func (e Envelope) Sign(k *Keys) {
	key, found := k.find(k.signingNumber)
	if !found {
		key = sipKey{} // key number 0
	}
	binary.BigEndian.PutUint32(e.b[offsetKeyNumber:], key.number)
	binary.BigEndian.PutUint64(e.b[offsetTag:], e.tag(key))
}

// HasValidTag reports whether the authentication tag was computed with one of the keys in k.
func (e Envelope) HasValidTag(k *Keys) bool {
	key, found := k.find(binary.BigEndian.Uint32(e.b[offsetKeyNumber:]))
	return found && e.tag(key) == binary.BigEndian.Uint64(e.b[offsetTag:])
}

// tag returns the authentication tag over the header and the first taggedPacketBytes of the packet. It returns 0 for
// key number 0, which stands for datagrams without a tag.
func (e Envelope) tag(key sipKey) uint64 {
	if key.number == 0 {
		return 0
	}
	var b [tagInputBytes]byte
	n := copy(b[:], e.b[:min(headerLength(e.b)+taggedPacketBytes, len(e.b))])
	clear(b[offsetTag : offsetTag+tagBytes])
	return siphash.Hash(key.low, key.high, b[:n])
}
