package logfmt

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// newReference returns a logger whose lines are written by zerolog.ConsoleWriter.
func newReference(w io.Writer) zerolog.Logger {
	pair := func(key string) zerolog.Formatter {
		return func(v any) string { return key + "=" + referenceValue(v) }
	}
	return zerolog.New(zerolog.ConsoleWriter{
		Out: w, NoColor: true, PartsOrder: []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
		FormatTimestamp: pair("time"), FormatLevel: pair("level"), FormatMessage: pair("event"),
		FormatErrFieldValue: referenceValue, FormatFieldValue: referenceValue,
	})
}

func referenceValue(v any) string {
	s := fmt.Sprint(v)
	if raw, ok := v.([]byte); ok {
		s = string(raw)
	}
	if strings.HasPrefix(s, `"`) {
		return s
	}
	if s == "" || strings.ContainsAny(s, " =\"\n\t") {
		return strconv.Quote(s)
	}
	return s
}

// logFields logs an event with fields of all kinds in use.
func logFields(log zerolog.Logger, text string, number int64, fraction float64, flag bool) {
	log.Warn().Str("time", "t").Str("text", text).Err(fmt.Errorf("%s", text)).Int64("number", number).Bool("flag", flag).
		Float64("fraction", fraction).Dur("took", time.Duration(number)).Strs("list", []string{text, "b"}).Interface("object", map[string]string{"k": text}).Msg("name")
}

// FuzzLine checks that lines are as zerolog.ConsoleWriter writes them.
func FuzzLine(f *testing.F) {
	for _, text := range []string{"", "word", "two words", "a=b", `q"uote`, `back\slash`, "line\nend", "ä", "\x00\x7f", "}{,:[]", "\xff"} {
		f.Add(text, int64(-1), 0.5, true)
	}
	f.Fuzz(func(t *testing.T, text string, number int64, fraction float64, flag bool) {
		c := qt.New(t)
		var got, want bytes.Buffer
		logFields(zerolog.New(writer{&got}), text, number, fraction, flag)
		logFields(newReference(&want), text, number, fraction, flag)
		c.Assert(got.String(), qt.Equals, want.String())
	})
}

// FuzzWriter checks that the writer survives what is no event.
func FuzzWriter(f *testing.F) {
	for _, text := range []string{"", "{}", `{"a":1`, `{"a":"`, `{"a":[}`, `{"a"`, `{"a":}`, `{"a":"\q"}`, `{"a":1}`, `{"`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(_ *testing.T, text []byte) {
		// The error is of no interest.
		_, _ = writer{io.Discard}.Write(text)
	})
}

func BenchmarkLine(b *testing.B) {
	for _, bench := range []struct {
		name string
		log  zerolog.Logger
	}{{"writer", zerolog.New(writer{io.Discard})}, {"console", newReference(io.Discard)}} {
		b.Run(bench.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				bench.log.Info().Str("request", "0123456789abcdef").Str("route", "r-1").Dur("aim", time.Second).Str("workspace", "").
					Int("status", 0).Str("instance", "i-0123456789").Str("zone", "zone-a").Int("sent", 1).Dur("first", time.Millisecond).
					Dur("took", 123456789).Msg("request-ended")
			}
		})
	}
}
