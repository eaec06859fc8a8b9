package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/lib/h1"
)

// streamEnd describes the end of a stream, or of one of its attempts.
type streamEnd struct {
	// framing is that of the last attempt's response; empty if there was none.
	framing h1.Framing
	lastID  int64
	// attempts counts the attempts that were started and not rejected.
	attempts int
	// resumed is set if the last attempt continued the stream, noEvents if it sent no event, and left is
	// what was left of the request's time.
	resumed, noEvents bool
	left              time.Duration
}

// MarshalZerologObject adds the fields of a log line.
func (e streamEnd) MarshalZerologObject(line *zerolog.Event) {
	line.Str("framing", string(e.framing)).Int64("last-event", e.lastID).Int("attempts", e.attempts).
		Bool("resumed", e.resumed).Bool("no-events", e.noEvents).Dur("left", e.left)
}

// currentEnd describes the end of the current attempt.
func (s *stream) currentEnd() streamEnd {
	end := streamEnd{lastID: s.lastID, attempts: s.attempts, left: time.Until(s.deadline)}
	if s.current == nil {
		return end
	}
	end.resumed, end.noEvents = s.current.resumed, s.current.lastEvent.IsZero()
	if s.current.response != nil {
		end.framing = s.current.response.Framing
	}
	return end
}
