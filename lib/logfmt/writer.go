package logfmt

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"sync"

	"github.com/rs/zerolog"
)

// errNoEvent is returned by writer for what is not a JSON object.
var errNoEvent = errors.New("not an event")

// firstKeys are the keys at the beginning of each line.
var firstKeys = [...]string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName, zerolog.ErrorFieldName}

// messageKey is the key of an event's name in a line.
const messageKey = "event"

// writer writes events, which zerolog encodes as JSON objects, as lines of key=value pairs. It scans
// the objects instead of decoding them as zerolog.ConsoleWriter does, since each request logs one.
type writer struct{ out io.Writer }

// field is a field of an event, both parts as in the JSON object.
type field struct{ key, value []byte }

// line is what is needed to write one event, for reuse.
type line struct {
	fields []field
	text   []byte
}

var lines = sync.Pool{New: func() any { return &line{} }}

// Write writes one event.
func (w writer) Write(event []byte) (int, error) {
	l := lines.Get().(*line)
	defer lines.Put(l)
	if err := l.scan(event); err != nil {
		return 0, fmt.Errorf("%w: %q", err, event)
	}
	if err := l.format(); err != nil {
		return 0, fmt.Errorf("%w: %q", err, event)
	}
	if _, err := w.out.Write(l.text); err != nil {
		return 0, err
	}
	return len(event), nil
}

// scan splits a flat JSON object into its fields.
func (l *line) scan(event []byte) error {
	l.fields = l.fields[:0]
	rest, found := bytes.CutPrefix(event, []byte("{"))
	for found {
		keyEnd := stringEnd(rest)
		if keyEnd < 0 || keyEnd >= len(rest) || rest[keyEnd] != ':' {
			return errNoEvent
		}
		value := rest[keyEnd+1:]
		end := valueEnd(value)
		if end <= 0 || end == len(value) {
			return errNoEvent
		}
		l.fields = append(l.fields, field{rest[1 : keyEnd-1], value[:end]})
		if value[end] == '}' {
			return nil
		}
		rest = value[end+1:]
	}
	return errNoEvent
}

// stringEnd returns the length of the JSON string at the beginning of a text, or -1.
func stringEnd(text []byte) int {
	if len(text) == 0 || text[0] != '"' {
		return -1
	}
	for n := 1; n < len(text); n++ {
		switch text[n] {
		case '\\':
			n++
		case '"':
			return n + 1
		}
	}
	return -1
}

// valueEnd returns the length of the JSON value at the beginning of a text, or -1.
func valueEnd(text []byte) int {
	depth := 0
	for n := 0; n < len(text); n++ {
		switch text[n] {
		case '"':
			end := stringEnd(text[n:])
			if end < 0 {
				return -1
			}
			n += end - 1
		case '[', '{':
			depth++
		case ']', '}':
			if depth == 0 {
				return n
			}
			depth--
		case ',':
			if depth == 0 {
				return n
			}
		}
	}
	return -1
}

// format writes the fields as a line: time, level, event and error first, then the others by name.
func (l *line) format() error {
	slices.SortStableFunc(l.fields, func(a, b field) int {
		return cmp.Or(cmp.Compare(position(a.key), position(b.key)), bytes.Compare(a.key, b.key))
	})
	l.text = l.text[:0]
	for n, f := range l.fields {
		if n > 0 {
			l.text = append(l.text, ' ')
		}
		if string(f.key) == zerolog.MessageFieldName {
			l.text = append(l.text, messageKey...)
		} else {
			l.text = append(l.text, f.key...)
		}
		l.text = append(l.text, '=')
		if err := l.appendValue(f.value); err != nil {
			return err
		}
	}
	l.text = append(l.text, '\n')
	return nil
}

// position returns the place of a key in a line.
func position(key []byte) int {
	for n, first := range firstKeys {
		if string(key) == first {
			return n
		}
	}
	return len(firstKeys)
}

// appendValue appends a JSON value, quoted if it would otherwise not be one word.
func (l *line) appendValue(value []byte) error {
	switch value[0] {
	case '"':
	case '[', '{':
		return l.appendComposite(value)
	default:
		l.text = append(l.text, value...)
		return nil
	}
	plain := value[1 : len(value)-1]
	if len(plain) > 0 && !bytes.ContainsFunc(plain, needsQuotes) {
		l.text = append(l.text, plain...)
		return nil
	}
	var text string
	if err := json.Unmarshal(value, &text); err != nil {
		return err
	}
	l.text = strconv.AppendQuote(l.text, text)
	return nil
}

// appendComposite appends a JSON array or object.
func (l *line) appendComposite(value []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.UseNumber()
	var decoded any
	if err := decoder.Decode(&decoded); err != nil {
		return err
	}
	text, err := zerolog.InterfaceMarshalFunc(decoded)
	if err != nil {
		return err
	}
	if bytes.ContainsAny(text, " =\"\n\t") {
		l.text = strconv.AppendQuote(l.text, string(text))
		return nil
	}
	l.text = append(l.text, text...)
	return nil
}

// needsQuotes reports whether a value with this character is quoted. A backslash begins an escape
// sequence of JSON.
func needsQuotes(r rune) bool { return r <= ' ' || r > '~' || r == '"' || r == '\\' || r == '=' }
