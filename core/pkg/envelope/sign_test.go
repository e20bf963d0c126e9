package envelope

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

// newKeys returns keys with these numbers, of which signing is the number of the signing key. Number 0 stands for
// datagrams without a tag.
func newKeys(signing uint32, numbers ...uint32) *Keys {
	var secrets []landing.DatagramKey
	for _, number := range numbers {
		key := bytes.Repeat([]byte{byte(number)}, KeyBytes)
		if number == 0 {
			key = nil
		}
		secrets = append(secrets, landing.DatagramKey{}.WithNumber(number).WithKey(key))
	}
	return NewKeys(landing.Keyring{}.WithSigning(signing).WithSecrets(secrets...))
}

func newSignedEnvelope(t testing.TB, k *Keys) Envelope {
	t.Helper()
	e, err := Parse(newDatagram(newChain(3), make([]byte, 200)))
	if err != nil {
		t.Fatal(err)
	}
	e.Sign(k)
	return e
}

func TestHasValidTagDetectsChangedBytes(t *testing.T) {
	is := is.New(t)
	keys := newKeys(1, 1)
	for i := range headerLength(newSignedEnvelope(t, keys).Bytes()) + taggedPacketBytes {
		e := newSignedEnvelope(t, keys)
		is.True(e.HasValidTag(keys))
		e.b[i] ^= 0xff
		if e.HasValidTag(keys) {
			t.Fatalf("byte %d is not covered by the authentication tag", i)
		}
	}
}

func TestKeyRotationAcceptsDatagramsOfAdjacentKeyrings(t *testing.T) {
	is := is.New(t)
	// From datagrams without a tag to key 1 and then to key 2: each new key is accepted before it signs, and the old one is
	// accepted for one more step.
	keyrings := []*Keys{NewKeys(landing.Keyring{}), newKeys(0, 0, 1), newKeys(1, 0, 1), newKeys(1, 1), newKeys(1, 1, 2), newKeys(2, 1, 2), newKeys(2, 2)}
	for i := 1; i < len(keyrings); i++ {
		is.True(newSignedEnvelope(t, keyrings[i-1]).HasValidTag(keyrings[i]))
		is.True(newSignedEnvelope(t, keyrings[i]).HasValidTag(keyrings[i-1]))
	}
	is.True(!newSignedEnvelope(t, keyrings[0]).HasValidTag(keyrings[3]))
	is.True(!newSignedEnvelope(t, keyrings[3]).HasValidTag(keyrings[6]))
}

func BenchmarkSign(b *testing.B) {
	keys := newKeys(1, 1)
	e := newSignedEnvelope(b, keys)
	b.ReportAllocs()
	for b.Loop() {
		e.Sign(keys)
	}
}
