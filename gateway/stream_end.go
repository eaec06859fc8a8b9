package gateway

import (
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/lib/h1"
)

// claim is what the end of a response's body claims: that the stream is complete.
type claim struct {
	framing h1.Framing
	// resumable is set if the stream may be resumed, resumed if this response was to continue it.
	resumable, resumed bool
	// events is set if the response had an event.
	events bool
	// checksEnd is set if the response was to repeat the last event, repeated if it did and had no other
	// event.
	checksEnd, repeated bool
}

// judge returns errStreamEnd if the stream is complete, errUnframedEnd if that isn't proven, and errEmptyStream
// if the response is a broken one.
func (c claim) judge() error {
	switch {
	case c.checksEnd && !c.repeated:
		return errors.Join(errMayHaveRun, errEmptyStream)
	case c.framing != h1.FramedByClose:
		return errStreamEnd
	case !c.events && !c.resumed:
		return errors.Join(errMayHaveRun, errEmptyStream)
	case c.resumable:
		return errors.Join(errMayHaveRun, errUnframedEnd)
	default:
		return errStreamEnd
	}
}

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
