package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/lib/timer"
)

// minMeasuredRequests is the number of requests in progress from which on delays are measured often.
const minMeasuredRequests = 8

// entrance is the listener for callers. It counts their connections, and measures how long the
// daemon's work waits to run.
type entrance struct {
	addr     netip.AddrPort
	clock    *timer.Service
	socket   net.Listener
	accepted *metrics.Counter

	mu sync.Mutex
	// active is the number of connections with a request in progress, or whose first request is
	// still to come; open is the number of all connections.
	active, open int
	delay        *runDelay
}

// callerConn is a connection of a caller. The entrance's lock guards its state.
type callerConn struct {
	net.Conn
	active bool
}

// newEntrance returns an entrance that does not listen yet.
func newEntrance(addr netip.AddrPort, set *metrics.Set) *entrance {
	e := &entrance{addr: addr, clock: timer.New(time.Now()), accepted: set.NewCounter("lupinkeel_caller_connections_accepted_total"), delay: newRunDelay()}
	e.clock.SetStep(restInterval)
	locked := func(read func() float64) func() float64 {
		return func() float64 {
			e.mu.Lock()
			defer e.mu.Unlock()
			return read()
		}
	}
	set.NewGauge("lupinkeel_run_delay_seconds", locked(func() float64 { return e.delay.last.Seconds() }))
	set.NewGauge(`lupinkeel_caller_connections{state="active"}`, locked(func() float64 { return float64(e.active) }))
	set.NewGauge(`lupinkeel_caller_connections{state="idle"}`, locked(func() float64 { return float64(e.open - e.active) }))
	return e
}

// listen opens the entrance.
func (e *entrance) listen() error {
	socket, err := net.Listen("tcp4", e.addr.String())
	if err != nil {
		return err
	}
	e.socket = socket
	return nil
}

// Accept returns the next connection.
func (e *entrance) Accept() (net.Conn, error) {
	conn, err := e.socket.Accept()
	if err != nil {
		return nil, err
	}
	e.accepted.Inc()
	c := &callerConn{Conn: conn}
	e.mu.Lock()
	e.open++
	e.mu.Unlock()
	e.setActive(c, true)
	return c, nil
}

// Close closes the entrance.
func (e *entrance) Close() error { return e.socket.Close() }

// Addr returns the address for callers.
func (e *entrance) Addr() net.Addr { return net.TCPAddrFromAddrPort(e.addr) }

// connState is called by the server when the state of a connection changes.
func (e *entrance) connState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	e.setActive(c, state == http.StateNew || state == http.StateActive)
	if state == http.StateClosed || state == http.StateHijacked {
		e.mu.Lock()
		e.open--
		e.mu.Unlock()
	}
}

func (e *entrance) setActive(c *callerConn, active bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.active == active {
		return
	}
	c.active = active
	if active {
		e.active++
	} else {
		e.active--
	}
}

// run measures delays until the context ends.
func (e *entrance) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	ticks := e.clock.Subscribe(delayInterval)
	clock := task.Start(ctx, "clock", e.clock.Run)
	for {
		select {
		case <-ctx.Done():
			cancel()
			return errors.Join(ctx.Err(), task.Wait(clock))
		case tick := <-ticks:
			e.observe(tick)
		}
	}
}

func (e *entrance) observe(tick timer.Tick) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delay.measure(tick.At, tick.Late)
	if e.active >= minMeasuredRequests {
		e.clock.SetStep(delayInterval)
	} else {
		e.clock.SetStep(restInterval)
	}
}
