// Package field appends and reads single fields of messages in the wire format of protocol buffers. The generated
// functions of package wire call it.
package field

import (
	"bytes"
	"math"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed means that bytes are not an encoded message.
var ErrMalformed = trace.BadParameter("malformed message")

// AppendUint appends an integer field as a varint. It appends nothing when v is zero.
func AppendUint(b []byte, number protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return AppendUintElement(b, number, v)
}

// AppendUintElement appends one element of a repeated integer field as a varint, also when v is zero.
func AppendUintElement(b []byte, number protowire.Number, v uint64) []byte {
	b = protowire.AppendTag(b, number, protowire.VarintType)
	return protowire.AppendVarint(b, v)
}

// AppendBool appends a boolean field. It appends nothing when v is false.
func AppendBool(b []byte, number protowire.Number, v bool) []byte {
	return AppendUint(b, number, protowire.EncodeBool(v))
}

// AppendFixed32 appends an integer field of four bytes. It appends nothing when v is zero.
func AppendFixed32(b []byte, number protowire.Number, v uint32) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, number, protowire.Fixed32Type)
	return protowire.AppendFixed32(b, v)
}

// AppendFixed64 appends an integer field of eight bytes. It appends nothing when v is zero.
func AppendFixed64(b []byte, number protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return AppendFixed64Element(b, number, v)
}

// AppendFixed64Element appends one element of a repeated field of eight-byte integers, also when v is zero.
func AppendFixed64Element(b []byte, number protowire.Number, v uint64) []byte {
	b = protowire.AppendTag(b, number, protowire.Fixed64Type)
	return protowire.AppendFixed64(b, v)
}

// AppendDouble appends a floating-point field. It appends nothing when v is zero.
func AppendDouble(b []byte, number protowire.Number, v float64) []byte {
	return AppendFixed64(b, number, math.Float64bits(v))
}

// AppendString appends a string field. It appends nothing when v is empty.
func AppendString(b []byte, number protowire.Number, v string) []byte {
	if v == "" {
		return b
	}
	return AppendStringElement(b, number, v)
}

// AppendStringElement appends one element of a repeated string field, also when v is empty.
func AppendStringElement(b []byte, number protowire.Number, v string) []byte {
	b = protowire.AppendTag(b, number, protowire.BytesType)
	return protowire.AppendString(b, v)
}

// AppendBytes appends a field of bytes. It appends nothing when v is empty.
func AppendBytes(b []byte, number protowire.Number, v []byte) []byte {
	if len(v) == 0 {
		return b
	}
	b = protowire.AppendTag(b, number, protowire.BytesType)
	return protowire.AppendBytes(b, v)
}

// AppendDuration appends a duration field as a number of nanoseconds. It appends nothing when v is zero.
func AppendDuration(b []byte, number protowire.Number, v time.Duration) []byte {
	return AppendUint(b, number, uint64(v))
}

// AppendTime appends a time field as a number of nanoseconds since 1970. It appends nothing for the zero time.
func AppendTime(b []byte, number protowire.Number, v time.Time) []byte {
	if v.IsZero() {
		return b
	}
	return AppendUint(b, number, uint64(v.UnixNano()))
}

// AppendMessage appends an embedded message, whose fields the function write appends.
func AppendMessage(b []byte, number protowire.Number, write func([]byte) []byte) []byte {
	b = protowire.AppendTag(b, number, protowire.BytesType)
	start := len(b)
	b = write(b)
	length := len(b) - start
	// The length precedes the message but is known only after the message is written, so the message is moved to make
	// room for it.
	prefix := protowire.AppendVarint(nil, uint64(length))
	b = append(b, prefix...)
	copy(b[start+len(prefix):], b[start:start+length])
	copy(b[start:], prefix)
	return b
}

// Reader reads the fields of one message in order.
type Reader struct {
	rest     []byte
	number   protowire.Number
	wireType protowire.Type
	integer  uint64
	bytes    []byte
	err      error
}

// NewReader returns a reader of the message encoded in b.
func NewReader(b []byte) *Reader {
	return &Reader{rest: b}
}

// Next moves to the next field. It returns false at the end of the message and at malformed bytes, see Err.
func (r *Reader) Next() bool {
	if r.err != nil || len(r.rest) == 0 {
		return false
	}
	number, wireType, n := protowire.ConsumeTag(r.rest)
	if !r.advance(n) {
		return false
	}
	r.number, r.wireType, r.integer, r.bytes = number, wireType, 0, nil
	return r.advance(r.consume())
}

func (r *Reader) consume() int {
	var n int
	switch r.wireType {
	case protowire.VarintType:
		r.integer, n = protowire.ConsumeVarint(r.rest)
	case protowire.Fixed32Type:
		var v uint32
		v, n = protowire.ConsumeFixed32(r.rest)
		r.integer = uint64(v)
	case protowire.Fixed64Type:
		r.integer, n = protowire.ConsumeFixed64(r.rest)
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

// Err returns ErrMalformed when Next found malformed bytes, and nil otherwise.
func (r *Reader) Err() error {
	return r.err
}

// Number returns the number of the current field.
func (r *Reader) Number() protowire.Number {
	return r.number
}

// Uint returns the current field as an integer. It returns 0 when the field has a length-delimited type.
func (r *Reader) Uint() uint64 {
	return r.integer
}

// Bool returns the current field as a boolean.
func (r *Reader) Bool() bool {
	return r.integer != 0
}

// Fixed32 returns the current field as an integer of four bytes.
func (r *Reader) Fixed32() uint32 {
	return uint32(r.integer)
}

// Fixed64 returns the current field as an integer of eight bytes.
func (r *Reader) Fixed64() uint64 {
	return r.integer
}

// Double returns the current field as a floating-point number.
func (r *Reader) Double() float64 {
	return math.Float64frombits(r.integer)
}

// String returns the current field as a string.
func (r *Reader) String() string {
	return string(r.bytes)
}

// Bytes returns the bytes of the current field. They share memory with the reader's input.
func (r *Reader) Bytes() []byte {
	return r.bytes
}

// Copy returns a copy of the bytes of the current field, which stays valid when the reader's input is overwritten.
func (r *Reader) Copy() []byte {
	return bytes.Clone(r.bytes)
}

// Duration returns the current field as a duration.
func (r *Reader) Duration() time.Duration {
	return time.Duration(r.integer)
}

// Time returns the current field as a time.
func (r *Reader) Time() time.Time {
	return time.Unix(0, int64(r.integer))
}
