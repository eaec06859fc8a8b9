package frame

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
)

const (
	// packed marks the kind of a frame whose body is compressed (DEFLATE).
	compressedFlag Kind = 0x80
	// packFrom is the shortest body that is compressed, in bytes. Shorter ones
	// come out about as long.
	minCompressLen = 512
	// packLevel is the fastest level but one: 640 KB in 3 ms to 86 KB, where the
	// fastest takes 4 ms to 89 KB and level 6 takes 10 ms to 77 KB.
	compressionLevel = 2
)

var (
	writers = sync.Pool{New: func() any {
		w, err := flate.NewWriter(io.Discard, compressionLevel)
		if err != nil {
			panic(err) // packLevel is not a level of the package.
		}
		return w
	}}
	readers = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

// Packed is the frame compressed, for those who read that, or the frame itself
// if that is no longer.
func (f Frame) Packed() Frame {
	body := f.Bytes[headerLen:]
	if len(body) < minCompressLen {
		return f
	}
	var buf bytes.Buffer
	buf.Write(make([]byte, headerLen))
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&buf)
	_, err := w.Write(body)
	if err := errors.Join(err, w.Close()); err != nil {
		panic(err) // A buffer takes everything.
	}
	if buf.Len() >= len(f.Bytes) {
		return f
	}
	out := buf.Bytes()
	binary.BigEndian.PutUint32(out, uint32(len(out)-headerLen))
	out[4] = byte(f.Kind | compressedFlag)
	return Frame{Kind: f.Kind, Bytes: out}
}

// unpack is the body of a compressed frame as it was.
func decompress(body []byte) ([]byte, error) {
	r := readers.Get().(io.ReadCloser)
	defer readers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(body), nil); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	var out bytes.Buffer
	n, err := out.ReadFrom(io.LimitReader(r, MaxLen+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrFormat, err)
	case n > MaxLen:
		return nil, fmt.Errorf("%w: more than %d bytes when unpacked", ErrTooLong, MaxLen)
	}
	return out.Bytes(), nil
}
