package api

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/router"
	"github.com/lupinkeel/lupinkeel/worker/upstream"
)

// serveService passes a call to a plain service on. Only methods that
// change nothing count as repeatable unless the caller says otherwise.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	harmless := r.Method == http.MethodGet || r.Method == http.MethodHead
	e, ctx, done := s.begin(w, r, harmless)
	if e == nil {
		return
	}
	defer done()
	name := models.ServiceName(r.PathValue("service"))
	e.entry.ModelOrService = string(name)
	e.choose = func(now time.Time, avoid []netip.AddrPort) (router.Target, error) {
		return s.daemon.View().Table.ChooseService(e.workspace, name, now, s.flights.at, avoid)
	}
	e.call = func(t router.Target) upstream.Call {
		path := "/" + r.PathValue("path")
		if r.URL.RawQuery != "" {
			path += "?" + r.URL.RawQuery
		}
		return upstream.Call{
			Addr: t.Addr, Method: r.Method, Path: path, Header: passOn(r.Header), Body: e.body,
			Request: e.req.ID, Fresh: !e.req.Idempotent,
		}
	}
	e.answer = e.answerWhole
	e.run(ctx)
}

// passOn picks the headers that an upstream gets to see.
func passOn(h http.Header) http.Header {
	out := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language"} {
		if v := h.Values(name); len(v) > 0 {
			out[name] = v
		}
	}
	return out
}
