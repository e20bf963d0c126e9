// Package field appends and reads the fields of encoded messages, in the encoding of protocol buffers.
// The generated codecs of package wire are made of it.
package field

import (
	"bytes"
	"math"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed says that bytes are not an encoded message.
var ErrMalformed = trace.BadParameter("malformed message")

// AppendUint appends an integer unless it is zero.
func AppendUint(b []byte, number protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return AppendUintElement(b, number, v)
}

// AppendUintElement appends an integer of a list.
func AppendUintElement(b []byte, number protowire.Number, v uint64) []byte {
	b = protowire.AppendTag(b, number, protowire.VarintType)
	return protowire.AppendVarint(b, v)
}

// AppendBool appends a flag unless it is false.
func AppendBool(b []byte, number protowire.Number, v bool) []byte {
	return AppendUint(b, number, protowire.EncodeBool(v))
}

// AppendFixed32 appends a number of four bytes unless it is zero.
func AppendFixed32(b []byte, number protowire.Number, v uint32) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, number, protowire.Fixed32Type)
	return protowire.AppendFixed32(b, v)
}

// AppendFixed64 appends a number of eight bytes unless it is zero.
func AppendFixed64(b []byte, number protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return AppendFixed64Element(b, number, v)
}

// AppendFixed64Element appends a number of eight bytes of a list.
func AppendFixed64Element(b []byte, number protowire.Number, v uint64) []byte {
	b = protowire.AppendTag(b, number, protowire.Fixed64Type)
	return protowire.AppendFixed64(b, v)
}

// AppendDouble appends a fraction unless it is zero.
func AppendDouble(b []byte, number protowire.Number, v float64) []byte {
	return AppendFixed64(b, number, math.Float64bits(v))
}

// AppendString appends a text unless it is empty.
func AppendString(b []byte, number protowire.Number, v string) []byte {
	if v == "" {
		return b
	}
	return AppendStringElement(b, number, v)
}

// AppendStringElement appends a text of a list.
func AppendStringElement(b []byte, number protowire.Number, v string) []byte {
	b = protowire.AppendTag(b, number, protowire.BytesType)
	return protowire.AppendString(b, v)
}

// AppendBytes appends bytes unless there are none.
func AppendBytes(b []byte, number protowire.Number, v []byte) []byte {
	if len(v) == 0 {
		return b
	}
	b = protowire.AppendTag(b, number, protowire.BytesType)
	return protowire.AppendBytes(b, v)
}

// AppendDuration appends a duration in nanoseconds unless it is zero.
func AppendDuration(b []byte, number protowire.Number, v time.Duration) []byte {
	return AppendUint(b, number, uint64(v))
}

// AppendTime appends a time in nanoseconds since 1970 unless it is the zero time.
func AppendTime(b []byte, number protowire.Number, v time.Time) []byte {
	if v.IsZero() {
		return b
	}
	return AppendUint(b, number, uint64(v.UnixNano()))
}

// AppendMessage appends the message that write appends.
func AppendMessage(b []byte, number protowire.Number, write func([]byte) []byte) []byte {
	b = protowire.AppendTag(b, number, protowire.BytesType)
	start := len(b)
	b = write(b)
	size := len(b) - start
	// The length stands before the message and is known only now.
	prefix := protowire.AppendVarint(nil, uint64(size))
	b = append(b, prefix...)
	copy(b[start+len(prefix):], b[start:start+size])
	copy(b[start:], prefix)
	return b
}

// Reader reads the fields of one message in order.
type Reader struct {
	rest     []byte
	number   protowire.Number
	kind     protowire.Type
	number64 uint64
	bytes    []byte
	err      error
}

// NewReader returns a reader of the message in b.
func NewReader(b []byte) *Reader {
	return &Reader{rest: b}
}

// Next moves to the next field. It returns false at the end and at malformed bytes.
func (r *Reader) Next() bool {
	if r.err != nil || len(r.rest) == 0 {
		return false
	}
	number, kind, n := protowire.ConsumeTag(r.rest)
	if !r.advance(n) {
		return false
	}
	r.number, r.kind, r.number64, r.bytes = number, kind, 0, nil
	return r.advance(r.consume())
}

func (r *Reader) consume() int {
	var n int
	switch r.kind {
	case protowire.VarintType:
		r.number64, n = protowire.ConsumeVarint(r.rest)
	case protowire.Fixed32Type:
		var v uint32
		v, n = protowire.ConsumeFixed32(r.rest)
		r.number64 = uint64(v)
	case protowire.Fixed64Type:
		r.number64, n = protowire.ConsumeFixed64(r.rest)
	case protowire.BytesType:
		r.bytes, n = protowire.ConsumeBytes(r.rest)
	case protowire.StartGroupType, protowire.EndGroupType:
		return -1
	default:
		return -1
	}
	return n
}

func (r *Reader) advance(n int) bool {
	if n < 0 {
		r.err = ErrMalformed
		return false
	}
	r.rest = r.rest[n:]
	return true
}

// Err returns ErrMalformed when the reader met malformed bytes.
func (r *Reader) Err() error {
	return r.err
}

// Number returns the number of the present field.
func (r *Reader) Number() protowire.Number {
	return r.number
}

// Uint returns the present field as an integer; 0 when it has another form.
func (r *Reader) Uint() uint64 {
	return r.number64
}

// Bool returns the present field as a flag.
func (r *Reader) Bool() bool {
	return r.number64 != 0
}

// Fixed32 returns the present field as a number of four bytes.
func (r *Reader) Fixed32() uint32 {
	return uint32(r.number64)
}

// Fixed64 returns the present field as a number of eight bytes.
func (r *Reader) Fixed64() uint64 {
	return r.number64
}

// Double returns the present field as a fraction.
func (r *Reader) Double() float64 {
	return math.Float64frombits(r.number64)
}

// String returns the present field as a text.
func (r *Reader) String() string {
	return string(r.bytes)
}

// Bytes returns the present field as bytes, which belong to the reader's input.
func (r *Reader) Bytes() []byte {
	return r.bytes
}

// Copy returns a copy of the present field, so that a value outlives the buffer that it was read from.
func (r *Reader) Copy() []byte {
	return bytes.Clone(r.bytes)
}

// Duration returns the present field as a duration.
func (r *Reader) Duration() time.Duration {
	return time.Duration(r.number64)
}

// Time returns the present field as a time.
func (r *Reader) Time() time.Time {
	return time.Unix(0, int64(r.number64))
}
