package envelope

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

func newRing(signing uint32, ids ...uint32) *Keys {
	var secrets []landing.DatagramKey
	for _, id := range ids {
		key := bytes.Repeat([]byte{byte(id)}, KeyBytes)
		if id == 0 {
			key = nil
		}
		secrets = append(secrets, landing.DatagramKey{}.WithNumber(id).WithKey(key))
	}
	return NewKeys(landing.Keyring{}.WithSigning(signing).WithSecrets(secrets...))
}

func newSealed(t testing.TB, k *Keys) Envelope {
	t.Helper()
	e, err := Parse(write(newChain(3), make([]byte, 200)))
	if err != nil {
		t.Fatal(err)
	}
	e.Sign(k)
	return e
}

func TestEveryChangeOfTheHeaderBreaksTheSeal(t *testing.T) {
	is := is.New(t)
	ring := newRing(1, 1)
	for i := range headerBytes(newSealed(t, ring).Bytes()) + taggedBytes {
		e := newSealed(t, ring)
		is.True(e.HasValidTag(ring))
		e.b[i] ^= 0xff
		if e.HasValidTag(ring) {
			t.Fatalf("byte %d is not covered", i)
		}
	}
}

func TestKeysRotateWithoutARefusedDatagram(t *testing.T) {
	is := is.New(t)
	steps := []*Keys{NewKeys(landing.Keyring{}), newRing(0, 0, 1), newRing(1, 0, 1), newRing(1, 1), newRing(1, 1, 2), newRing(2, 1, 2), newRing(2, 2)}
	for i := 1; i < len(steps); i++ {
		is.True(newSealed(t, steps[i-1]).HasValidTag(steps[i]))
		is.True(newSealed(t, steps[i]).HasValidTag(steps[i-1]))
	}
	is.True(!newSealed(t, steps[0]).HasValidTag(steps[3]))
	is.True(!newSealed(t, steps[3]).HasValidTag(steps[6]))
}

func BenchmarkSeal(b *testing.B) {
	ring := newRing(1, 1)
	e := newSealed(b, ring)
	b.ReportAllocs()
	for b.Loop() {
		e.Sign(ring)
	}
}
