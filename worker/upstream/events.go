package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Errors of Next.
var (
	// ErrTruncated: the event stream ended without its [DONE] event.
	ErrTruncated = errors.New("the stream ended without its end mark")
	// errEventTooLong: the data of an event, or one of its lines, is longer than maxEventLen.
	errEventTooLong = fmt.Errorf("%w: an event is longer than %d bytes", ErrTruncated, maxEventLen)
)

// doneMarker is the data of the last event of a stream.
const doneMarker = "[DONE]"

// maxEventLen is the maximum length in bytes of an event's data, and of each line.
const maxEventLen = 128 << 10

// Event is one server-sent event.
type Event struct {
	// ID is the number of tokens up to and including this event; 0 if the event has no ID.
	ID   int
	Data []byte
}

// IsDone reports whether the event is the [DONE] event.
func (e Event) IsDone() bool { return string(e.Data) == doneMarker }

// WriteTo writes the event in its wire format, without its ID.
func (e Event) WriteTo(w io.Writer) (int64, error) {
	n, err := fmt.Fprintf(w, "data: %s\n\n", e.Data)
	return int64(n), err
}

// EventReader reads server-sent events.
type EventReader struct {
	body  io.ReadCloser
	lines *bufio.Scanner
}

// Close closes the underlying body.
func (e *EventReader) Close() error { return e.body.Close() }

// NewEventReader returns a reader of the events in a response body.
func NewEventReader(body io.ReadCloser) *EventReader {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4<<10), maxEventLen)
	return &EventReader{body: body, lines: lines}
}

// Next returns the next complete event. It returns ErrTruncated when the stream ends, whether
// cleanly or not; a caller that has seen the [DONE] event does not call it again.
func (e *EventReader) Next() (Event, error) {
	var event Event
	for e.lines.Scan() {
		line := e.lines.Bytes()
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(line) == 0 && event.Data != nil:
			return event, nil
		case string(field) == "id":
			// An ID that is not a number leaves the event without an ID.
			event.ID, _ = strconv.Atoi(string(value))
		case string(field) == "data" && len(event.Data)+len(value) >= maxEventLen:
			return Event{}, errEventTooLong
		case string(field) == "data" && event.Data != nil:
			event.Data = append(append(event.Data, '\n'), value...)
		case string(field) == "data":
			event.Data = append([]byte{}, value...)
		}
	}
	switch err := e.lines.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		return Event{}, errEventTooLong
	case err != nil:
		return Event{}, fmt.Errorf("%w: %w", ErrTruncated, err)
	default:
		return Event{}, ErrTruncated
	}
}
