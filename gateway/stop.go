package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/entrance"
	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// readinessDrain is how long a stopping daemon still accepts connections, so that the load
	// balancer sees two failed readiness checks and stops sending callers.
	readinessDrain = 2500 * time.Millisecond
	// exitMargin is the part of StopGrace that is left for the process to exit.
	exitMargin = 400 * time.Millisecond
	// answerMargin is the part of StopGrace before that in which requests are answered that have no
	// response yet.
	answerMargin = 400 * time.Millisecond
)

var (
	// errStopping: the daemon stops before an instance can be expected to answer the request.
	errStopping = errors.New("the daemon stops before the request would be answered")
	// errStopEnded ends requests that have no response at the end of the stop. They may have run.
	errStopEnded = errors.New("the daemon has stopped")
	// errNotDrained: callers still have connections at the end of the stop.
	errNotDrained = errors.New("connections are still open")
)

// plannedStop is the daemon's planned stop. It is safe for concurrent use.
type plannedStop struct {
	// end is when requests without a response are answered; nil until the stop begins.
	end atomic.Pointer[time.Time]
	// ended is done when the end has come.
	ended  context.Context
	setEnd context.CancelFunc
}

func newPlannedStop() *plannedStop {
	p := &plannedStop{}
	p.ended, p.setEnd = context.WithCancel(context.Background())
	return p
}

// begin begins a stop that may take the given time, and returns its end.
func (p *plannedStop) begin(now time.Time, grace time.Duration) time.Time {
	end := now.Add(grace - exitMargin - answerMargin)
	p.end.Store(&end)
	return end
}

// afterEnd calls a function in its own goroutine when the end has come, unless the function that it
// returns is called before. That one reports whether it was.
func (p *plannedStop) afterEnd(f func()) (cancel func() bool) { return context.AfterFunc(p.ended, f) }

// begun reports whether the stop has begun.
func (p *plannedStop) begun() bool { return p.end.Load() != nil }

// bound returns the deadline, or the end of the stop if that comes first.
func (p *plannedStop) bound(deadline time.Time) time.Time {
	if end := p.end.Load(); end != nil && end.Before(deadline) {
		return *end
	}
	return deadline
}

// shutdown fails the readiness checks, waits until callers are sent elsewhere, and then closes the
// listener and lets requests in flight finish, also those of which only a part has arrived. Those that have
// no response at the end are answered then, the connections of the others are closed when it returns.
//
// http.Server.Shutdown would close connections while a request arrives on them.
func (g *Gateway) shutdown() {
	started := time.Now()
	end := g.stop.begin(started, g.cfg.StopGrace)
	defer time.AfterFunc(time.Until(end), g.stop.setEnd).Stop()
	g.log.Info().Int64("in-flight", g.stats.inFlight.Load()).Msg("stop-begun")
	time.Sleep(min(readinessDrain, g.cfg.StopGrace/2))
	drained := g.entrance.Drain()
	err := awaitDrained(drained, g.stop.ended.Done())
	if err != nil {
		// A paused process must get to answer before the connections are closed.
		err = awaitDrained(drained, time.After(answerMargin))
	}
	g.log.Info().Int64("cut-off", g.stats.inFlight.Load()).Err(err).Msg("stop-ended")
}

// awaitDrained waits until callers have no connection any more. It returns errNotDrained if the limit comes
// first.
func awaitDrained[T any](drained <-chan struct{}, limit <-chan T) error {
	select {
	case <-drained:
		return nil
	case <-limit:
		return errNotDrained
	}
}

// checkTimeLeft returns an error if the daemon stops before the request, sent to an instance after a delay,
// can be expected to be answered.
func (e *exchange) checkTimeLeft(delay time.Duration) error {
	end := e.g.stop.bound(e.deadline)
	if end.Equal(e.deadline) || time.Until(end) >= delay+e.expectedDuration() {
		return nil
	}
	return errStopping
}

// expectedDuration returns how long the request is expected to take. Without observations that is all of
// its time, unless its latency target is that of the whole response.
func (e *exchange) expectedDuration() time.Duration {
	if long, known := e.g.durations.long(e.route.Name); known {
		return max(long, e.route.LatencyTarget)
	}
	if e.route.Kind != models.RouteStream && e.route.LatencyTarget > 0 {
		return e.route.LatencyTarget
	}
	return time.Until(e.deadline)
}

// announceClose closes the caller's connection after the response if the daemon stops, so that the next
// request is sent to another daemon and does not cross the close, or if the caller sends requests ahead while others
// find no place.
func (e *exchange) announceClose() {
	if e.g.stop.begun() || entrance.MustClose(e.r.Context()) {
		e.w.Header().Set("Connection", "close")
	}
}
