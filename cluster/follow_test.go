package cluster

import (
	"encoding/binary"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/platform"
)

// TestEarlyResponseConfirmsFuture guards against a long poll that the store ends early without records,
// which would confirm the configuration as of a time that has not come yet: a key revoked until then
// would be accepted.
func TestEarlyResponseConfirmsFuture(t *testing.T) {
	c := qt.New(t)
	const held = 100 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(held)
		// The end and the first offset of a topic without records.
		_, _ = w.Write(binary.BigEndian.AppendUint64(make([]byte, 8), 0))
	}))
	t.Cleanup(server.Close)
	addr := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	n := New(Settings{ID: "d1", Store: addr, LeaseMin: time.Second}, noTraffic{}, metrics.NewSet(), zerolog.Nop())
	for _, test := range []struct {
		hold time.Duration
		// confirmed is how long after the request the topic is known to have had no records.
		confirmed time.Duration
	}{{0, 0}, {held, held - longPollSlack}, {10 * time.Second, 0}} {
		f := topicReader{n: n, topic: platform.ConfigTopic, positioned: true, holdTime: func() time.Duration { return test.hold }}
		var read readResult
		f.onDelta = func(r readResult) message { read = r; return instancesDelta{r} }
		requestedAt := time.Now()
		c.Assert(f.readOnce(t.Context()), qt.IsNil)
		<-n.inbox
		confirmed := read.requestedAt.Sub(requestedAt)
		c.Check(confirmed >= test.confirmed && confirmed < test.confirmed+longPollSlack, qt.IsTrue, qt.Commentf("held for %v: confirmed %v after the request", test.hold, confirmed))
	}
}
