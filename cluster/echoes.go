package cluster

import (
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/echo"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
)

// A heartbeat that confirms the configuration may wait in a buffer while either daemon is stopped, and
// others pass on what it confirms. If it were dated by the time at which it is read, all daemons would
// accept revoked keys for as long as it had waited.

// echoes is this node's clock, and what is known of other daemons' clocks. It is safe for concurrent
// use.
type echoes struct {
	own *echo.Clock
	// service tells of suspensions of the machine, which own does not count.
	service *timer.Service

	mu    sync.Mutex
	peers map[models.DaemonID]peerClock
}

// peerClock is what is known of another daemon's clock.
type peerClock struct {
	// received is its last reading, which is returned to it.
	received echo.Received
	anchor   echo.Anchor
}

func newEchoes(service *timer.Service, now time.Time) *echoes {
	return &echoes{own: echo.NewClock(now), service: service, peers: map[models.DaemonID]peerClock{}}
}

// receive records the clock readings in a heartbeat. It returns a time after which the heartbeat was
// written, or the zero time if that is not known.
func (e *echoes) receive(b Heartbeat, now time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[b.From]
	p.received = echo.Received{Reading: b.Clock, At: now}
	writtenAfter, ok := e.own.WrittenAfter(b.Echo, now)
	if sentAt, _ := e.own.Time(b.Echo.Reading, now); ok && e.service.Suspended(sentAt) == 0 {
		p.anchor = echo.Anchor{Reading: b.Clock, At: writtenAfter}
	} else {
		writtenAfter = time.Time{}
	}
	e.peers[b.From] = p
	return writtenAfter
}

func (e *echoes) forget(id models.DaemonID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.peers, id)
}

// echo returns the echo for a message to a daemon whose ages are read at now or later.
func (e *echoes) echo(to models.DaemonID, now time.Time) echo.Echo {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers[to].received.Echo(now)
}

// writtenAfter returns a time after which a daemon's message with a reading of its clock was written, or
// the zero time if that is not known, as before the first exchange of heartbeats and after a
// suspension of this machine.
func (e *echoes) writtenAfter(from models.DaemonID, r echo.Reading, now time.Time) time.Time {
	e.mu.Lock()
	anchor := e.peers[from].anchor
	e.mu.Unlock()
	at, ok := anchor.WrittenAfter(r, now)
	if !ok || e.service.Suspended(anchor.At) > 0 {
		return time.Time{}
	}
	return at
}

// dateOf returns as of when something is known that was of an age when the message about it was
// written, or the zero time if the latter is not known.
func dateOf(writtenAfter time.Time, age time.Duration) time.Time {
	if writtenAfter.IsZero() {
		return time.Time{}
	}
	return writtenAfter.Add(-age)
}
