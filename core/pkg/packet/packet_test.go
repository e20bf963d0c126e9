package packet

import (
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

func newKey() landing.FlowKey {
	return landing.FlowKey{}.
		WithSourceAddress(0x0a010007).
		WithSourcePort(4000).
		WithDestinationAddress(0x0ac80001).
		WithDestinationPort(80)
}

func TestParseReadsCallerReset(t *testing.T) {
	is := is.New(t)
	s, err := Parse(NewCallerReset(newKey(), 77))
	is.NoErr(err)
	is.Equal(s.Key(), newKey())
	is.Equal(s.SequenceNumber(), uint32(77))
	is.True(s.IsReset())
	is.True(!s.IsSyn())
}

func TestNewResetIsAddressedToCaller(t *testing.T) {
	is := is.New(t)
	reset, err := NewReset(NewCallerReset(newKey(), 77))
	is.NoErr(err)
	s, err := ParseReply(reset)
	is.NoErr(err)
	is.Equal(s.Key(), newKey())
	is.Equal(checksum(reset[:ipv4HeaderBytes], 0), uint16(0))
	is.Equal(checksum(reset[ipv4HeaderBytes:], pseudoHeaderSum(reset)), uint16(0))
}

func FuzzParse(f *testing.F) {
	f.Add(NewCallerReset(newKey(), 77))
	f.Add([]byte{0x45})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, err := Parse(b); err != nil {
			return
		}
		if _, err := ParseReply(b); err != nil {
			t.Fatal(err)
		}
		if _, err := NewReset(b); err != nil {
			t.Fatal(err)
		}
	})
}
