package object

import (
	"testing"

	"github.com/matryer/is"

	"github.com/crocuslanding/crocuslanding/core/gen/landing"
)

func TestDecodeRootReturnsEncodedValue(t *testing.T) {
	is := is.New(t)
	root := landing.ListsRoot{}.WithSerial(7).WithChunks("a", "b").WithAuthor("ops")
	decoded, err := DecodeRoot(EncodeRoot(root))
	is.NoErr(err)
	is.Equal(decoded.Serial(), uint64(7))
	is.Equal(decoded.Chunks(), []string{"a", "b"})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{})
	f.Add(EncodeRoot(landing.ListsRoot{}.WithSerial(7)))
	f.Fuzz(func(t *testing.T, b []byte) {
		root, err := DecodeRoot(b)
		if err == nil && root.Serial() != 0 && len(b) < checksumBytes {
			t.Fatal("bytes that are too short for a checksum were decoded as a root")
		}
		_, _ = DecodeMarks(b)
		_, _ = DecodeRoster(b)
		_, _ = DecodeLease(b)
		_, _ = DecodeKeyring(b)
		_, _ = DecodeChunk(Hash(b), b)
	})
}

func TestDecodeMarksRejectsGarbage(t *testing.T) {
	is := is.New(t)
	for _, b := range [][]byte{nil, {}, []byte("garbage"), make([]byte, 8), make([]byte, 30)} {
		_, err := DecodeMarks(b)
		is.True(err != nil)
	}
}
