package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// maxReceiving is how many bytes of long frames a Receiver reads at once.
	maxReceiving = 2 * MaxLen
	// initialLen is the length of the buffer for a frame of which no byte has arrived.
	initialLen = 16 << 10
)

// ErrTooMany is returned for a frame that a Receiver has no room for.
var ErrTooMany = errors.New("too many long frames at once")

// Receiver reads frames from many connections, and bounds the bytes that all of them hold before their
// frames are complete. The zero value is usable. It is safe for concurrent use.
type Receiver struct{ held atomic.Int64 }

// Read reads one frame from one connection and returns its kind and its encoded value, decompressed. It
// returns io.EOF only between two frames.
func (r *Receiver) Read(from io.Reader) (Kind, []byte, error) {
	var header [headerLen]byte
	if _, err := io.ReadFull(from, header[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(header[:4])
	if n > MaxLen {
		return 0, nil, fmt.Errorf("%w: %d bytes", ErrTooLong, n)
	}
	b := buffer{r: r}
	defer b.release()
	body, err := b.readUpTo(from, int(n))
	switch {
	case errors.Is(err, ErrTooMany):
		return 0, nil, err
	case err != nil || len(body) < int(n):
		return 0, nil, fmt.Errorf("%w: %w", ErrFormat, io.ErrUnexpectedEOF)
	}
	kind := Kind(header[4])
	if kind&compressedFlag == 0 {
		return kind, body, nil
	}
	body, err = r.decompress(body)
	return kind &^ compressedFlag, body, err
}

// buffer is the part of a frame that was read.
type buffer struct {
	r    *Receiver
	data []byte
	// held is how much of its length is counted by the Receiver.
	held int64
}

func (b *buffer) release() { b.r.held.Add(-b.held) }

// readUpTo reads up to limit bytes, or to the end if that comes first. The buffer grows as bytes arrive.
func (b *buffer) readUpTo(from io.Reader, limit int) ([]byte, error) {
	b.data = make([]byte, 0, min(limit, initialLen))
	for len(b.data) < limit {
		if len(b.data) == cap(b.data) {
			if err := b.grow(min(limit, 2*cap(b.data))); err != nil {
				return nil, err
			}
		}
		n, err := from.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	return b.data, nil
}

// grow makes room for length bytes.
func (b *buffer) grow(length int) error {
	more := int64(length) - b.held
	if b.r.held.Add(more) > maxReceiving {
		b.r.held.Add(-more)
		return fmt.Errorf("%w: no room for %d bytes", ErrTooMany, length)
	}
	b.held = int64(length)
	grown := make([]byte, len(b.data), length)
	copy(grown, b.data)
	b.data = grown
	return nil
}
