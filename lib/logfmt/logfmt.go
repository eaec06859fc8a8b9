// Package logfmt creates loggers that write one line of key=value pairs per event. Each line
// starts with time, level and event.
package logfmt

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes events of the given level and above to w.
func New(w io.Writer, level zerolog.Level) zerolog.Logger {
	out := zerolog.ConsoleWriter{
		Out:     w,
		NoColor: true,
		PartsOrder: []string{
			zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName,
		},
		FormatTimestamp:     formatPair("time"),
		FormatLevel:         formatPair("level"),
		FormatMessage:       formatPair("event"),
		FormatErrFieldValue: formatValue,
		FormatFieldValue:    formatValue,
	}
	return zerolog.New(out).Level(level).With().Timestamp().Logger()
}

func init() {
	zerolog.TimeFieldFormat = time.RFC3339Nano
}

func formatPair(key string) zerolog.Formatter {
	return func(v any) string { return key + "=" + formatValue(v) }
}

func formatValue(v any) string {
	s := fmt.Sprint(v)
	if raw, ok := v.([]byte); ok {
		s = string(raw)
	}
	if strings.HasPrefix(s, `"`) {
		// The console writer passes some values already quoted.
		return s
	}
	if s == "" || strings.ContainsAny(s, " =\"\n\t") {
		return strconv.Quote(s)
	}
	return s
}
