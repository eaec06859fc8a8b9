package gateway

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/quarantine"
)

// quarantineStatus returns the crashes that all daemons know the request to have caused.
func (e *exchange) quarantineStatus() quarantine.Status {
	quarantined := e.g.node.Quarantine()
	if !quarantined.Any() {
		return quarantine.Status{}
	}
	return quarantined.Status(e.digest())
}

const (
	// probeWait is how long a retry waits for the probe of the instance that disconnected: a round
	// trip within a region.
	probeWait = 20 * time.Millisecond
	// lastInstanceHold is for how long after a crash the requests that were on the instance are not
	// sent to the last one left: others are back by then.
	lastInstanceHold = 10 * time.Second
)

// checkQuarantine returns an error if the request is known to crash the instances that run it.
// It is called before each send: without shared knowledge of crashes, one caller's request crashed
// nineteen instances and failed all other requests on them. A request that may have just crashed an
// instance is not sent to the last one either, which all others need. A stream whose beginning the
// caller has received is, unless it is isolated.
func (e *exchange) checkQuarantine() error {
	e.awaitProbe()
	if err := e.checkParts(); err != nil {
		return err
	}
	s := e.quarantineStatus()
	suspect := s.Crashes > 0 && (!e.headSent || s.NeedsIsolation())
	switch {
	case s.Quarantined:
		return errQuarantined
	case suspect && time.Since(s.Last) < lastInstanceHold && e.countAvailable() < 2:
		return errLastInstance
	default:
		return nil
	}
}

// checkParts returns an error if a part of the prompt is known to crash instances.
func (e *exchange) checkParts() error {
	if len(e.head.SharedParts) == 0 || !e.g.node.Quarantine().Any() {
		return nil
	}
	if d, blocked := e.g.node.Quarantine().Blocks(e.parts()); blocked {
		return fmt.Errorf("%w: %v", errPartQuarantined, d)
	}
	return nil
}

// markSound records that an instance answered the request, or a good part of it, without crashing.
func (e *exchange) markSound() {
	if len(e.head.SharedParts) > 0 {
		e.g.node.Quarantine().MarkSound(e.parts())
	}
}

// awaitProbe waits until it is known whether the instance that last disconnected during the request
// has crashed.
func (e *exchange) awaitProbe() {
	probed := e.probed.Load()
	if probed == nil {
		return
	}
	select {
	case <-*probed:
	case <-time.After(probeWait):
	case <-e.r.Context().Done():
	}
}

// countAvailable returns how many instances or groups could take the request that are not known to
// have crashed, back off or be leaving.
func (e *exchange) countAvailable() int {
	v, quarantined := e.g.node.View(), e.g.node.Quarantine()
	n := 0
	count := func(i models.UpstreamInstance) {
		if !quarantined.HasCrashed(i) && e.g.node.Breakers().Blocks(i) == nil {
			n++
		}
	}
	for _, i := range v.Services[e.service] {
		count(i)
	}
	for _, head := range e.heads() {
		count(head)
	}
	return n
}

// isolationIndex returns the function that places an isolated request: the same instance at all
// daemons. It is nil for requests that are not isolated.
func (e *exchange) isolationIndex() func(int) int {
	if !e.quarantineStatus().NeedsIsolation() {
		return nil
	}
	return func(places int) int { return e.g.node.Quarantine().IsolationIndex(e.digest(), places) }
}

// clear clears the crashes of a request that has ended well.
func (e *exchange) clear() {
	if e.quarantineStatus().Crashes > 0 {
		e.g.node.Quarantine().Clear(e.digest())
	}
}

// listQuarantine lists the quarantined requests and parts of prompts for an operator, one per line.
func (g *Gateway) listQuarantine(w http.ResponseWriter, _ *http.Request) {
	for d, s := range g.node.Quarantine().Quarantined() {
		// A write error means that the operator has disconnected.
		_, _ = fmt.Fprintf(w, "digest=%x part=%t crashes=%d age=%s\n", d[:], d.IsPart(), s.Crashes, time.Since(s.Last).Round(time.Second))
	}
}

// releaseQuarantine releases the request whose digest begins with the path's prefix, at all
// daemons. Its crashes are forgotten.
func (g *Gateway) releaseQuarantine(w http.ResponseWriter, r *http.Request) {
	prefix := r.PathValue("digest")
	for d := range g.node.Quarantine().Quarantined() {
		if strings.HasPrefix(hex.EncodeToString(d[:]), prefix) {
			g.log.Info().Stringer("digest", d).Str("operator", r.RemoteAddr).Msg("quarantine-lifted")
			g.node.Quarantine().Clear(d)
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
	http.Error(w, "no request with this digest is refused", http.StatusNotFound)
}
