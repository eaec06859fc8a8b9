package entrance

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lupinkeel/lupinkeel/lib/buffers"
)

const (
	// maxGuardedConnections is how many connections a Guard has open.
	maxGuardedConnections = 32
	// requestInterval is the shortest time between the responses to two requests on a connection.
	requestInterval = 100 * time.Millisecond
	// guardedHeaderBytes bounds the head of a request, guardedReadTimeout the time that it may take, and
	// guardedWriteTimeout the time that the response may take.
	guardedHeaderBytes  = 4 << 10
	guardedReadTimeout  = 5 * time.Second
	guardedWriteTimeout = 10 * time.Second
	guardedIdleTimeout  = time.Minute
)

// Guard is a listener for readiness checks and operators. Both need few connections: beyond
// maxGuardedConnections it closes the one that was accepted first, so that a crowd can't keep others out.
type Guard struct {
	net.Listener
	memory  *buffers.Budget
	evicted *metrics.Counter

	mu   sync.Mutex
	open *list.List
}

// NewGuard returns a guard that holds the heads of requests in a budget.
func NewGuard(l net.Listener, memory *buffers.Budget, set *metrics.Set) *Guard {
	return &Guard{Listener: l, memory: memory, evicted: set.GetOrCreateCounter("lupinkeel_guarded_connections_evicted_total"), open: list.New()}
}

// Protect sets the bounds of a server for the guard, and spaces the responses on each connection.
func (g *Guard) Protect(s *http.Server) {
	s.MaxHeaderBytes, s.ReadTimeout, s.WriteTimeout, s.IdleTimeout = guardedHeaderBytes, guardedReadTimeout, guardedWriteTimeout, guardedIdleTimeout
	// The handler below spaces these responses, too.
	s.DisableGeneralOptionsHandler = true
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*guardedConn); ok && state == http.StateIdle {
			c.receiver.reset()
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*guardedConn); ok {
			c.receiver.setPhase(phaseBody)
			c.awaitInterval(r.Context())
		}
		next.ServeHTTP(w, r)
	})
}

// Accept returns the next connection.
func (g *Guard) Accept() (net.Conn, error) {
	conn, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &guardedConn{Conn: conn, guard: g, receiver: receiver{budget: g.memory}}
	if oldest := g.add(c); oldest != nil {
		g.evicted.Inc()
		// Nothing depends on the result: the server sees the end of the connection.
		_ = oldest.Conn.Close()
	}
	return c, nil
}

// add adds a connection, and returns the one that must be closed for it, or nil if there is room.
func (g *Guard) add(c *guardedConn) (oldest *guardedConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.place = g.open.PushBack(c)
	if g.open.Len() <= maxGuardedConnections {
		return nil
	}
	oldest = g.open.Remove(g.open.Front()).(*guardedConn)
	oldest.place = nil
	return oldest
}

// guardedConn is a connection of a Guard. The guard's lock guards place.
type guardedConn struct {
	net.Conn
	guard    *Guard
	receiver receiver
	place    *list.Element
	// next is when the next response may be sent; only the connection's goroutine uses it.
	next time.Time
}

// Read reads from the connection, and holds memory for the heads of requests.
func (c *guardedConn) Read(p []byte) (int, error) {
	if err := c.receiver.refused; err != nil {
		// net/http reads on after an error in the middle of a line.
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if full := c.receiver.note(p[:n], time.Now()); full != nil {
		return 0, full
	}
	return n, err
}

// Close closes the connection.
func (c *guardedConn) Close() error {
	c.receiver.reset()
	c.guard.mu.Lock()
	if c.place != nil {
		c.guard.open.Remove(c.place)
		c.place = nil
	}
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

// awaitInterval waits until the next response may be sent.
func (c *guardedConn) awaitInterval(ctx context.Context) {
	now := time.Now()
	if wait := c.next.Sub(now); wait > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		now = c.next
	}
	c.next = now.Add(requestInterval)
}
