package gateway

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/overload"
)

const (
	// reopenFraction is the fraction of the limit to which the requests in progress must fall before
	// the entrance opens again, so that it does not open for one connection at a time.
	reopenFraction = 0.9
	// minMeasuredRequests is the number of requests in progress from which on delays are measured
	// often.
	minMeasuredRequests = 8
	// silentTime is how long a new connection counts as one with a request in progress although
	// nothing has arrived on it. Callers also connect in advance.
	silentTime = 250 * time.Millisecond
)

// entrance is the listener for callers. It bounds the requests in progress by what the daemon can
// bear: at the limit it closes the listening socket, so that the kernel refuses further connections.
// That takes nothing from this process, and callers learn at once that they have to go elsewhere.
// Requests that were read are served. It also bounds the connections: beyond that it closes the one
// that has been idle for longest, so that descriptors are left for the daemon's own traffic.
type entrance struct {
	addr               netip.AddrPort
	log                zerolog.Logger
	clock              *timer.Service
	maxConns           int
	accepted, closings *metrics.Counter
	// evicted counts idle connections that were closed to make room.
	evicted *metrics.Counter
	// notify is called when an overload begins and ends.
	notify func(overloaded bool)

	mu sync.Mutex
	// socket is the listening socket, nil while the entrance is closed.
	socket net.Listener
	// changed is closed and replaced when the entrance opens or ends.
	changed chan struct{}
	ended   bool
	// active is the number of connections with a request in progress, or so new that their first
	// request is still to come; open is the number of all connections.
	active, open int
	// fresh holds the connections on which nothing has arrived for less than silentTime, and idle
	// those without a request in progress. Both are in the order in which they were added.
	fresh, idle *list.List
	// reached is set if the limit was reached since the last measurement.
	reached bool
	delay   *runDelay
	limit   *overload.Limit
	state   *overload.State
}

// callerConn is a connection of a caller. The entrance's lock guards its state.
type callerConn struct {
	net.Conn
	acceptedAt time.Time
	active     bool
	// counted is set while the connection counts as open.
	counted bool
	// in is the list that holds the connection at place; nil if none does.
	in    *list.List
	place *list.Element
}

// moveTo moves the connection to the end of a list, or out of all if that is nil.
func (c *callerConn) moveTo(to *list.List) {
	if c.in != nil {
		c.in.Remove(c.place)
	}
	if c.in = to; to != nil {
		c.place = to.PushBack(c)
	}
}

// newEntrance returns an entrance that does not listen yet.
func newEntrance(addr netip.AddrPort, policy overload.Policy, maxConns int, notify func(overloaded bool), set *metrics.Set, log zerolog.Logger) *entrance {
	now := time.Now()
	e := &entrance{
		addr: addr, log: log, clock: timer.New(now), maxConns: maxConns, notify: notify, changed: make(chan struct{}),
		fresh: list.New(), idle: list.New(), evicted: set.NewCounter("lupinkeel_caller_connections_evicted_total"),
		accepted: set.NewCounter("lupinkeel_caller_connections_accepted_total"), closings: set.NewCounter("lupinkeel_entrance_closings_total"),
		delay: newRunDelay(), limit: overload.NewLimit(policy, now), state: overload.NewState(now),
	}
	e.clock.SetStep(restInterval)
	locked := func(read func() float64) func() float64 {
		return func() float64 {
			e.mu.Lock()
			defer e.mu.Unlock()
			return read()
		}
	}
	set.NewGauge("lupinkeel_run_delay_seconds", locked(func() float64 { return e.delay.last.Seconds() }))
	set.NewGauge("lupinkeel_request_limit", locked(func() float64 { return float64(e.limit.Max()) }))
	set.NewGauge("lupinkeel_entrance_closed_fraction", locked(func() float64 { return e.state.Closed() }))
	set.NewGauge(`lupinkeel_caller_connections{state="active"}`, locked(func() float64 { return float64(e.active) }))
	set.NewGauge(`lupinkeel_caller_connections{state="idle"}`, locked(func() float64 { return float64(e.open - e.active) }))
	return e
}

// listen opens the entrance for the first time.
func (e *entrance) listen() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.openSocket()
}

// Accept returns the next connection. While the entrance is closed it waits.
func (e *entrance) Accept() (net.Conn, error) {
	for {
		e.mu.Lock()
		socket, changed, ended := e.socket, e.changed, e.ended
		e.mu.Unlock()
		if ended {
			return nil, net.ErrClosed
		}
		if socket == nil {
			<-changed
			continue
		}
		conn, err := socket.Accept()
		if errors.Is(err, net.ErrClosed) {
			// The entrance was closed or ended meanwhile.
			continue
		}
		if err != nil {
			return nil, err
		}
		e.accepted.Inc()
		c := &callerConn{Conn: conn, acceptedAt: time.Now()}
		e.setState(c, http.StateNew)
		return c, nil
	}
}

// Close ends the entrance.
func (e *entrance) Close() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return nil
	}
	e.ended = true
	e.notifyChanged()
	return e.closeSocket()
}

// Addr returns the address for callers.
func (e *entrance) Addr() net.Addr { return net.TCPAddrFromAddrPort(e.addr) }

// connState is called by the server when the state of a connection changes.
func (e *entrance) connState(conn net.Conn, state http.ConnState) {
	// Accept has recorded that the connection is new.
	if c, ok := conn.(*callerConn); ok && state != http.StateNew {
		e.setState(c, state)
	}
}

// setState records the state of a connection, and opens or closes the entrance accordingly.
func (e *entrance) setState(c *callerConn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.setCounted(c, true)
		c.moveTo(e.fresh)
		e.setActive(c, true)
	case http.StateActive:
		c.moveTo(nil)
		e.setActive(c, true)
	case http.StateIdle:
		c.moveTo(e.idle)
		e.setActive(c, false)
	case http.StateClosed, http.StateHijacked:
		e.setCounted(c, false)
		c.moveTo(nil)
		e.setActive(c, false)
	}
	e.evict()
	e.update()
}

func (e *entrance) setActive(c *callerConn, active bool) {
	switch {
	case active == c.active:
		return
	case active:
		e.active++
	default:
		e.active--
	}
	c.active = active
}

func (e *entrance) setCounted(c *callerConn, counted bool) {
	switch {
	case counted == c.counted:
		return
	case counted:
		e.open++
	default:
		e.open--
	}
	c.counted = counted
}

// evict closes idle connections until there is room for another one.
func (e *entrance) evict() {
	for e.open >= e.maxConns && e.idle.Len() > 0 {
		c := e.idle.Front().Value.(*callerConn)
		c.moveTo(nil)
		e.setCounted(c, false)
		e.evicted.Inc()
		if err := c.Conn.Close(); err != nil {
			e.log.Debug().Err(err).Msg("connection-not-closed")
		}
	}
}

// expireFresh counts connections on which nothing has arrived for silentTime as idle.
func (e *entrance) expireFresh(now time.Time) {
	for first := e.fresh.Front(); first != nil; first = e.fresh.Front() {
		c := first.Value.(*callerConn)
		if now.Sub(c.acceptedAt) < silentTime {
			return
		}
		c.moveTo(e.idle)
		e.setActive(c, false)
	}
}

// update opens or closes the entrance by the number of requests in progress and of connections.
func (e *entrance) update() {
	limit := e.limit.Max()
	e.reached = e.reached || e.active >= limit
	switch {
	case e.ended:
	case e.socket != nil && (e.active >= limit || e.open >= e.maxConns):
		e.closings.Inc()
		if err := e.closeSocket(); err != nil {
			e.log.Warn().Err(err).Msg("entrance-not-closed")
		}
	case e.socket == nil && e.open < e.maxConns && float64(e.active) <= reopenFraction*float64(limit):
		// If it fails, the next measurement tries again.
		if err := e.openSocket(); err != nil {
			e.log.Warn().Err(err).Msg("entrance-not-opened")
		}
	}
}

func (e *entrance) openSocket() error {
	socket, err := net.Listen("tcp4", e.addr.String())
	if err != nil {
		return err
	}
	e.socket = socket
	e.notifyChanged()
	return nil
}

func (e *entrance) closeSocket() error {
	if e.socket == nil {
		return nil
	}
	err := e.socket.Close()
	e.socket = nil
	return err
}

// notifyChanged wakes Accept.
func (e *entrance) notifyChanged() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// run measures delays and adapts the limit until the context ends.
func (e *entrance) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticks := e.clock.Subscribe(delayInterval)
	clock := task.Start(ctx, "clock", e.clock.Run)
	for {
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), task.Wait(clock))
		case tick := <-ticks:
			e.observe(tick)
		}
	}
}

func (e *entrance) observe(tick timer.Tick) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delay := e.delay.measure(tick.At, tick.Late)
	e.expireFresh(tick.At)
	e.limit.Observe(tick.At, delay, e.active, e.reached)
	e.reached = false
	e.update()
	e.clock.SetStep(restInterval)
	if e.active >= minMeasuredRequests {
		e.clock.SetStep(delayInterval)
	}
	was := e.state.Overloaded()
	e.state.Observe(tick.At, e.socket == nil)
	if is := e.state.Overloaded(); is != was {
		e.notify(is)
		event := "overload-ended"
		if is {
			event = "overload-began"
		}
		e.log.Warn().Int("requests", e.active).Int("connections", e.open).Int("limit", e.limit.Max()).Dur("delay", delay).
			Float64("closed", e.state.Closed()).Msg(event)
	}
}

// overloaded reports whether the entrance is closed so often that the load balancer should send
// callers elsewhere.
func (e *entrance) overloaded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Overloaded()
}
