package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/lib/dial"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/standin"
	"github.com/lupinkeel/lupinkeel/worker/platform"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// TestFollowerReportsEndWithoutWaiting checks that a follower that starts, or is moved, at the
// end of its stream reports the end without waiting for a new record: until then its daemon
// serves nothing. Later reads wait.
func TestFollowerReportsEndWithoutWaiting(t *testing.T) {
	c := qt.New(t)
	const noWait, longPoll = "0s", "1s"
	reads := make(chan string, 16)
	handler := standin.NewPlatform().Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			reads <- r.URL.Query().Get("wait")
		}
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	client := platform.NewClient(addr, addr, dial.Dialer{})

	ctx, cancel := context.WithCancel(t.Context())
	for range 2 {
		_, err := client.Append(ctx, platform.StreamState, []byte("a record"))
		c.Assert(err, qt.IsNil)
	}
	seek, out := make(chan models.Offset, 1), make(chan types.Message, 16)
	f := &platform.Follower{Client: client, Stream: platform.StreamState, Next: 3, Seek: seek, Out: out}
	follower := task.Start(ctx, "follow", f.Run)
	defer func() {
		cancel()
		c.Check(<-follower.Done, qt.ErrorIs, context.Canceled)
	}()

	c.Assert(<-reads, qt.Equals, noWait)
	c.Assert((<-out).(types.LogRead).Next, qt.Equals, models.Offset(3))
	c.Assert(<-reads, qt.Equals, longPoll)

	seek <- 2
	_, err := client.Append(ctx, platform.StreamState, []byte("ends the long poll"))
	c.Assert(err, qt.IsNil)
	c.Assert(<-reads, qt.Equals, noWait)
	c.Assert(<-reads, qt.Equals, longPoll)
}
