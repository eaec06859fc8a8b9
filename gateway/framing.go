package gateway

import (
	"context"
	"net"
	"net/http"

	"github.com/lupinkeel/lupinkeel/lib/entrance"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/models"
)

// callerConnKey is the key of a caller's connection in the contexts of its requests.
type callerConnKey struct{}

// withCallerConn adds a caller's connection to the contexts of its requests.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(entrance.ConnContext(ctx, c), callerConnKey{}, c)
}

// lingerer is a connection that is reset when it is closed, while it lingers for 0 seconds.
type lingerer interface{ SetLinger(seconds int) error }

const (
	// lingerReset and lingerDefault are arguments of SetLinger.
	lingerReset   = 0
	lingerDefault = -1
)

// frameByClose makes the end of the caller's connection the end of the response, if nothing else can mark
// it. Until completeByClose the connection is reset when it is closed, also by the kernel of a killed
// process, so that an incomplete response does not look complete.
func (e *exchange) frameByClose(resp *h1.Response) {
	resumable := e.route.Kind == models.RouteStream && e.route.Idempotent() && resp.Status == http.StatusOK
	chunked := e.r.ProtoAtLeast(1, 1) && (resp.Framing != h1.FramedByClose || resumable)
	if chunked || e.w.Header().Get("Content-Length") != "" {
		return
	}
	e.framedByClose = true
	// net/http sends neither this header nor chunks then.
	e.w.Header().Set("Transfer-Encoding", "identity")
	e.setLinger(lingerReset)
}

// completeByClose sends the rest of a complete response, and ends its connection regularly.
func (e *exchange) completeByClose() {
	if !e.framedByClose {
		return
	}
	if err := http.NewResponseController(e.w).Flush(); err != nil {
		e.g.log.Debug().Err(err).Msg("answer-not-flushed")
		return
	}
	e.setLinger(lingerDefault)
}

func (e *exchange) setLinger(seconds int) {
	c, ok := e.r.Context().Value(callerConnKey{}).(lingerer)
	if !ok {
		return
	}
	if err := c.SetLinger(seconds); err != nil {
		e.g.log.Debug().Err(err).Msg("linger-not-set")
	}
}
