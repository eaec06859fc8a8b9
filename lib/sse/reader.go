// Package sse splits a stream of server-sent events into events without changing their bytes.
package sse

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// MaxEvent is the maximum length of an event in bytes.
const MaxEvent = 128 << 10

// Errors of Next.
var (
	// ErrTruncated: the stream ended within an event.
	ErrTruncated = errors.New("the stream ended within an event")
	// ErrTooLong: an event is longer than MaxEvent.
	ErrTooLong = errors.New("event too long")
)

// Event is one complete event.
type Event struct {
	Raw []byte
	// ID is the number in the event's id field; HasID reports whether there is one.
	ID    int64
	HasID bool
}

// Reader reads events from an io.Reader.
type Reader struct {
	// Reserve, if set, is called before the buffer grows by n bytes for a long event. If it fails so does
	// Next.
	Reserve func(n int) error

	r   io.Reader
	buf []byte
	// start is the index in buf at which the unread bytes start.
	start int
}

// initialBufferLen is the initial length of the buffer in bytes; it grows with the events.
const initialBufferLen = 2 << 10

// NewReader returns a reader of events.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: r, buf: make([]byte, 0, initialBufferLen)}
}

// Next returns the next event, which is valid until the next call. It returns io.EOF only between
// two events.
func (r *Reader) Next() (Event, error) {
	for {
		if event, ok := r.nextBuffered(); ok {
			return event, nil
		}
		if len(r.buf)-r.start > MaxEvent {
			return Event{}, ErrTooLong
		}
		if err := r.fill(); err != nil {
			if errors.Is(err, io.EOF) && len(r.buf) > r.start {
				return Event{}, fmt.Errorf("%w: %d bytes left", ErrTruncated, len(r.buf)-r.start)
			}
			return Event{}, err
		}
	}
}

// Pending reports whether a complete event is buffered.
func (r *Reader) Pending() bool { return bytes.Contains(r.buf[r.start:], []byte("\n\n")) }

func (r *Reader) nextBuffered() (Event, bool) {
	end := bytes.Index(r.buf[r.start:], []byte("\n\n"))
	if end < 0 {
		return Event{}, false
	}
	raw := r.buf[r.start : r.start+end+2]
	r.start += end + 2
	return parseEvent(raw), true
}

func (r *Reader) fill() error {
	if r.start > 0 {
		r.buf = append(r.buf[:0], r.buf[r.start:]...)
		r.start = 0
	}
	if cap(r.buf)-len(r.buf) < initialBufferLen/2 {
		if err := r.grow(); err != nil {
			return err
		}
	}
	n, err := r.r.Read(r.buf[len(r.buf):cap(r.buf)])
	r.buf = r.buf[:len(r.buf)+n]
	if n > 0 {
		return nil
	}
	return err
}

// grow doubles the length of the buffer.
func (r *Reader) grow() error {
	if r.Reserve != nil {
		if err := r.Reserve(cap(r.buf)); err != nil {
			return err
		}
	}
	grown := make([]byte, len(r.buf), 2*cap(r.buf))
	copy(grown, r.buf)
	r.buf = grown
	return nil
}

func parseEvent(raw []byte) Event {
	event := Event{Raw: raw}
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err == nil {
			event.ID, event.HasID = id, true
		}
	}
	return event
}
