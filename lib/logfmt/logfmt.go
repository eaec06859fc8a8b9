// Package logfmt creates loggers that write one line of key=value pairs per event. Each line
// starts with time, level and event.
package logfmt

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes events of the given level and above to w.
func New(w io.Writer, level zerolog.Level) zerolog.Logger {
	return zerolog.New(writer{w}).Level(level).With().Timestamp().Logger()
}

func init() {
	zerolog.TimeFieldFormat = time.RFC3339Nano
}
