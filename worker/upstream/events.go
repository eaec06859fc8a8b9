package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// ErrEndedEarly is returned for a stream of events that ended without its
// end mark.
var ErrTruncated = errors.New("the stream ended without its end mark")

// endMark is the data of a stream's last event.
const doneMarker = "[DONE]"

// maxEventLen is the longest event accepted, in bytes.
const maxEventLen = 1 << 20

// Event is one server-sent event.
type Event struct {
	// ID numbers the tokens up to this event; 0 if the event has none.
	ID   int
	Data []byte
}

// Last reports whether the event is the end mark.
func (e Event) IsDone() bool { return string(e.Data) == doneMarker }

// WriteTo writes the event as it goes over the wire, without its id.
func (e Event) WriteTo(w io.Writer) (int64, error) {
	n, err := fmt.Fprintf(w, "data: %s\n\n", e.Data)
	return int64(n), err
}

// Events reads server-sent events.
type EventReader struct {
	body  io.ReadCloser
	lines *bufio.Scanner
}

// Close closes what the events are read from.
func (e *EventReader) Close() error { return e.body.Close() }

// NewEvents reads events from the body of an answer.
func NewEventReader(body io.ReadCloser) *EventReader {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4<<10), maxEventLen)
	return &EventReader{body: body, lines: lines}
}

// Next returns the next whole event. It returns ErrEndedEarly if the stream
// ends, cleanly or not, and the caller has not seen the end mark.
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
			// An id that is no number leaves the event without one.
			event.ID, _ = strconv.Atoi(string(value))
		case string(field) == "data" && event.Data != nil:
			event.Data = append(append(event.Data, '\n'), value...)
		case string(field) == "data":
			event.Data = append([]byte{}, value...)
		}
	}
	if err := e.lines.Err(); err != nil {
		return Event{}, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return Event{}, ErrTruncated
}
