package logfmt_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/lib/logfmt"
)

func TestOneLinePerEvent(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	log := logfmt.New(&out, zerolog.InfoLevel)
	log.Debug().Msg("hidden")
	log.Info().Str("group", "g1").Str("reason", "two\nlines").Int("members", 4).Err(errors.New("it broke")).Msg("group-ended")
	line := out.String()
	c.Assert(strings.Count(line, "\n"), qt.Equals, 1)
	c.Assert(line, qt.Matches, `time=\S+ level=info event=group-ended error="it broke" group=g1 members=4 reason=".*two.*lines.*"\n`)
}
