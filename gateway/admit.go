package gateway

import (
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/lib/buffers"
	"github.com/lupinkeel/lupinkeel/lib/entrance"
	"github.com/lupinkeel/lupinkeel/models"
)

// defaultMaxBodyBytes is the longest body accepted if the configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20

// defaultTimeout bounds a request for which neither caller nor route sets a timeout.
const defaultTimeout = time.Minute

// admit finds the route and the workspace, sets the deadline and reads the body.
func (e *exchange) admit() error {
	if e.head.Forwarded {
		return errForwarded
	}
	v := e.g.node.View()
	if v.Routing == nil {
		return errNoConfig
	}
	known := false
	e.route, known = v.Routing.Match(e.r.Host, e.r.URL.EscapedPath())
	if !known {
		if !e.g.isCurrent(v, e.g.cfg.MaxConfigAge) {
			return errStaleConfig
		}
		return errNoRoute
	}
	if err := e.authorize(v); err != nil {
		return err
	}
	e.zones = e.homeZones()
	e.deadline = e.started.Add(defaultTimeout)
	if e.route.Timeout > 0 {
		e.deadline = e.started.Add(e.route.Timeout)
	}
	if d := e.head.Deadline; d > 0 && e.started.Add(d).Before(e.deadline) {
		e.deadline = e.started.Add(d)
	}
	h := fnv.New64a()
	h.Write([]byte(e.head.ID))
	e.service = pickService(e.route, h.Sum64())
	return e.readBody(v.Routing.Limits.BodyBytes)
}

// authorize finds the workspace that the key belongs to. An unknown key is rejected as such only if
// the configuration is current, since a newer one may contain it.
func (e *exchange) authorize(v *cluster.View) error {
	if !v.Routing.RequiresKeys || e.route.AuthExempt {
		return nil
	}
	if !e.g.isCurrent(v, e.g.cfg.MaxKeysProofAge) {
		return errStaleConfig
	}
	owner, known := v.Routing.Keys[e.head.Key]
	switch {
	case known:
		e.owner = owner
		return nil
	case e.g.isCurrent(v, e.g.cfg.MaxConfigAge):
		return errUnknownKey
	default:
		return errStaleConfig
	}
}

// readBody reads the whole body, since it may have to be sent again.
func (e *exchange) readBody(limit int64) error {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	conn := http.NewResponseController(e.w)
	unblock := conn.SetReadDeadline
	e.setDeadline(unblock, e.deadline)
	e.setDeadline(conn.SetWriteDeadline, e.deadline.Add(responseMargin))
	proceed := e.g.stop.afterEnd(func() {
		if err := unblock(time.Now()); err != nil {
			e.g.log.Debug().Err(err).Msg("request-not-unblocked")
		}
	})
	body, err := io.ReadAll(buffers.Reader{R: http.MaxBytesReader(e.w, e.r.Body, limit), Budget: e.g.buffers, Holds: &e.heldBytes})
	if !proceed() {
		return errStopping
	}
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return errBodyTooLong
	case errors.Is(err, buffers.ErrFull):
		return buffers.ErrFull
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errBodyLate
	case err != nil:
		return errors.Join(errBodyIncomplete, err)
	}
	if !entrance.Received(e.r.Context()) {
		return errBodyIncomplete
	}
	e.setDeadline(unblock, time.Time{})
	// Trailers are not passed on, and no budget holds them.
	e.r.Trailer = nil
	e.body, e.received = body, time.Now()
	return nil
}

// pickService picks one of a route's services by weight. The hash makes it the same service for
// every attempt of a request.
func pickService(route models.Route, hash uint64) models.ServiceName {
	total := 0
	for _, t := range route.Targets {
		total += max(0, t.Weight)
	}
	if total == 0 {
		return route.Targets[0].Service
	}
	offset := int(hash % uint64(total))
	for _, t := range route.Targets {
		if offset -= max(0, t.Weight); offset < 0 {
			return t.Service
		}
	}
	return route.Targets[0].Service
}
