package cluster

import (
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/echo"
	"github.com/lupinkeel/lupinkeel/models"
)

// A heartbeat that confirms the configuration may wait in a buffer while either daemon is stopped, and
// others pass on what it confirms. If it were dated by the time at which it is read, all daemons would
// accept revoked keys for as long as it had waited.

// echoes is this node's clock, and the last readings of other daemons' clocks, which are returned to
// them. It is safe for concurrent use.
type echoes struct {
	clock *echo.Clock

	mu       sync.Mutex
	received map[models.DaemonID]echo.Received
}

func newEchoes(now time.Time) *echoes {
	return &echoes{clock: echo.NewClock(now), received: map[models.DaemonID]echo.Received{}}
}

func (e *echoes) record(from models.DaemonID, r echo.Received) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received[from] = r
}

func (e *echoes) forget(id models.DaemonID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.received, id)
}

// echo returns the echo for a message to a daemon whose ages are read at now or later.
func (e *echoes) echo(to models.DaemonID, now time.Time) echo.Echo {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received[to].Echo(now)
}

// writtenAfter returns a time after which the message with an echo was written, or the zero time if it
// is not known. It is not known across a suspension of this machine, which the clock does not count.
func (n *Node) writtenAfter(e echo.Echo, now time.Time) time.Time {
	at, ok := n.echoes.clock.WrittenAfter(e, now)
	if !ok {
		return time.Time{}
	}
	if readAt, _ := n.echoes.clock.Time(e.Reading, now); n.clock.Suspended(readAt) > 0 {
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
