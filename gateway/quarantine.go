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

// standing is what is held against the request, by all that daemons have told each other.
func (e *exchange) standing() quarantine.Standing {
	held := e.g.node.Quarantine()
	if !held.Holds() {
		return quarantine.Standing{}
	}
	return held.Standing(e.digest())
}

const (
	// verdictWait is how long a repeat waits to learn whether the instance that cut the
	// request off has crashed: the way there and back within a region.
	probeWait = 20 * time.Millisecond
	// lastSpared is for how long after a crash requests that were on the instance are kept
	// from the last one left: others are back by then.
	lastInstanceHold = 10 * time.Second
)

// mayBeSent returns an error if the request is known to crash the instances that run it. It
// is asked before each send: where each daemon forgot what a request had done one caller
// ended nineteen instances, and the requests of all others on them. A request that may have
// crashed an instance just now is not sent to the last one either, which all others need;
// a stream that its caller has seen the beginning of is, unless it is on trial.
func (e *exchange) checkQuarantine() error {
	e.awaitProbe()
	s := e.standing()
	suspect := s.Crashes > 0 && (!e.headSent || s.OnTrial())
	switch {
	case s.Quarantined:
		return errQuarantined
	case suspect && time.Since(s.Last) < lastInstanceHold && e.countAvailable() < 2:
		return errLastInstance
	default:
		return nil
	}
}

// awaitVerdict waits until it is known whether the instance that cut the request off last
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

// choices is how many instances or groups could take the request that are not known to
// have crashed, to rest, or to leave.
func (e *exchange) countAvailable() int {
	v, held := e.g.node.View(), e.g.node.Quarantine()
	n := 0
	count := func(i models.UpstreamInstance) {
		if !held.HasCrashed(i) && e.g.node.Breakers().Blocks(i) == nil {
			n++
		}
	}
	for _, i := range v.Services[e.service] {
		count(i)
	}
	for _, group := range v.Groups[e.head.Model] {
		count(group.Head)
	}
	return n
}

// place tells where a request goes that is on trial, nil for others.
func (e *exchange) trialPlace() func(int) int {
	if !e.standing().OnTrial() {
		return nil
	}
	return func(places int) int { return e.g.node.Quarantine().Place(e.digest(), places) }
}

// clear takes back what is held against a request that has ended well.
func (e *exchange) clearCrashes() {
	if e.standing().Crashes > 0 {
		e.g.node.Quarantine().EndedWell(e.digest())
	}
}

// listQuarantine tells an operator which requests are refused, a line each.
func (g *Gateway) listQuarantine(w http.ResponseWriter, _ *http.Request) {
	for d, s := range g.node.Quarantine().Refused() {
		// An operator who is gone needs no answer.
		_, _ = fmt.Fprintf(w, "digest=%x crashes=%d age=%s\n", d[:], s.Crashes, time.Since(s.Last).Round(time.Second))
	}
}

// releaseQuarantine has a request sent again, whose digest begins with what the path tells,
// at all daemons. The crashes that were held against it are forgotten.
func (g *Gateway) releaseQuarantine(w http.ResponseWriter, r *http.Request) {
	prefix := r.PathValue("digest")
	for d := range g.node.Quarantine().Refused() {
		if strings.HasPrefix(hex.EncodeToString(d[:]), prefix) {
			g.log.Info().Stringer("digest", d).Str("operator", r.RemoteAddr).Msg("quarantine-lifted")
			g.node.Quarantine().EndedWell(d)
			w.WriteHeader(http.StatusNoContent)
			return
		}
	}
	http.Error(w, "no request with this digest is refused", http.StatusNotFound)
}
