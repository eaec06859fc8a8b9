// Package frame carries msgpack values over a byte stream: each frame is a
// four-byte big-endian length, one kind byte and the encoded value. The kind's
// highest bit tells that the value is compressed.
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/lupinkeel/lupinkeel/lib/pack"
)

// MaxLen is the longest frame accepted, in bytes.
const MaxLen = 16 << 20

const headerLen = 5

// Errors of Read and Write.
var (
	ErrTooLong = errors.New("frame too long")
	ErrFormat  = errors.New("malformed frame")
)

// Kind tells the reader which type a frame holds.
type Kind uint8

// Frame is a whole frame, ready to be written any number of times. Its bytes are
// never changed.
type Frame struct {
	Kind  Kind
	Bytes []byte
}

// Encode makes a frame of a value.
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

// Write encodes the value and writes it as one frame. It returns how many bytes
// were written.
func Write(w io.Writer, kind Kind, value any) (int, error) {
	f, err := Encode(kind, value)
	if err != nil {
		return 0, err
	}
	return w.Write(f.Bytes)
}

// Read reads one frame and returns its kind and its encoded value. It
// returns io.EOF only between two frames.
func Read(r io.Reader) (Kind, []byte, error) {
	var header [headerLen]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(header[:4])
	if n > MaxLen {
		return 0, nil, fmt.Errorf("%w: %d bytes", ErrTooLong, n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrFormat, io.ErrUnexpectedEOF)
	}
	kind := Kind(header[4])
	if kind&compressedFlag == 0 {
		return kind, body, nil
	}
	body, err := decompress(body)
	return kind &^ compressedFlag, body, err
}

// Decode reads the encoded value of a frame into out.
func Decode(body []byte, out any) error {
	if err := pack.Unmarshal(body, out); err != nil {
		return fmt.Errorf("%w: %w", ErrFormat, err)
	}
	return nil
}
