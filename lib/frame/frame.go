// Package frame sends msgpack values over a byte stream. Each frame is a four-byte big-endian
// length, one kind byte and the encoded value. The highest bit of the kind marks a compressed
// value.
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/lupinkeel/lupinkeel/lib/pack"
)

// MaxLen is the maximum length of a frame's value in bytes, encoded or decompressed.
const MaxLen = 16 << 20

const headerLen = 5

// Errors of Read and Write.
var (
	ErrTooLong = errors.New("frame too long")
	ErrFormat  = errors.New("malformed frame")
)

// Kind identifies the type of a frame's value.
type Kind uint8

// Frame is a complete encoded frame, which may be written any number of times. Bytes is never
// modified.
type Frame struct {
	Kind  Kind
	Bytes []byte
}

// Encode returns a frame with the encoded value.
func Encode(kind Kind, value any) (Frame, error) {
	body, err := pack.Marshal(value)
	if err != nil {
		return Frame{}, fmt.Errorf("encode frame: %w", err)
	}
	if len(body) > MaxLen {
		return Frame{}, fmt.Errorf("%w: %d bytes", ErrTooLong, len(body))
	}
	buf := make([]byte, headerLen, headerLen+len(body))
	binary.BigEndian.PutUint32(buf, uint32(len(body)))
	buf[4] = byte(kind)
	return Frame{Kind: kind, Bytes: append(buf, body...)}, nil
}

// Write encodes the value and writes it as one frame. It returns the number of bytes written.
func Write(w io.Writer, kind Kind, value any) (int, error) {
	f, err := Encode(kind, value)
	if err != nil {
		return 0, err
	}
	return w.Write(f.Bytes)
}

// Read reads one frame and returns its kind and its encoded value, decompressed. It returns
// io.EOF only between two frames.
func Read(r io.Reader) (Kind, []byte, error) {
	return new(Receiver).Read(r)
}

// Decode decodes the value of a frame into out.
func Decode(body []byte, out any) error {
	if err := pack.Unmarshal(body, out); err != nil {
		return fmt.Errorf("%w: %w", ErrFormat, err)
	}
	return nil
}
