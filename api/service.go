package api

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/router"
	"github.com/lupinkeel/lupinkeel/worker/upstream"
)

// serveService forwards a call to a plain service. Only safe methods (GET, HEAD) count as
// repeatable unless the caller says otherwise.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	safeMethod := r.Method == http.MethodGet || r.Method == http.MethodHead
	e, ctx, finish := s.beginExchange(w, r, safeMethod)
	if e == nil {
		return
	}
	defer finish()
	name := models.ServiceName(r.PathValue("service"))
	e.entry.ModelOrService = string(name)
	e.chooseTarget = func(now time.Time, avoid []netip.AddrPort) (router.Target, error) {
		return s.daemon.View().Table.ChooseService(e.workspace, name, now, s.inFlight.triesAt, avoid)
	}
	e.newCall = func(t router.Target) upstream.Call {
		path := "/" + r.PathValue("path")
		if r.URL.RawQuery != "" {
			path += "?" + r.URL.RawQuery
		}
		return upstream.Call{
			Addr: t.Addr, Method: r.Method, Path: path, Header: forwardedHeaders(r.Header), Body: e.body,
			Request: e.req.ID, NewConn: !e.req.Idempotent,
		}
	}
	e.forward = e.forwardBuffered
	e.run(ctx)
}

// forwardedHeaders returns the headers that are forwarded to an upstream.
func forwardedHeaders(h http.Header) http.Header {
	out := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language"} {
		if v := h.Values(name); len(v) > 0 {
			out[name] = v
		}
	}
	return out
}
