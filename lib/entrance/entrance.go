// Package entrance listens for callers, and bounds their requests and connections by what the process
// can bear.
package entrance

import (
	"container/list"
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/lib/buffers"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/overload"
)

const (
	// reopenFraction is the fraction of the limit to which the requests in progress must fall before
	// the listener opens again, so that it does not open for one connection at a time.
	reopenFraction = 0.9
	// busyFraction is the fraction of the limit from which on delays are measured often.
	busyFraction = 0.5
	// silentTime is how long a new connection counts as one with a request in progress although
	// nothing has arrived on it. Callers also connect in advance.
	silentTime = 250 * time.Millisecond
	// aheadTime is how long a draining listener leaves open a connection that has become idle: the server may hold
	// a request that was sent ahead, and begins to serve it at once.
	aheadTime = 20 * time.Millisecond
)

// Settings configure a Listener.
type Settings struct {
	Addr netip.AddrPort
	// Policy sets how the limit on requests in progress adapts.
	Policy overload.Policy
	// MaxConnections is how many connections callers may have open.
	MaxConnections int
	// Notify, if set, is called when an overload begins and ends.
	Notify func(overloaded bool)
	// Memory, if set, holds the heads of requests.
	Memory *buffers.Budget
}

// Listener is a listener for callers. It bounds the requests in progress by what the daemon can
// bear: at the limit it closes the listening socket, so that the kernel refuses further connections.
// That takes nothing from this process, and callers learn at once that they have to go elsewhere.
// Requests that were read are served. It also bounds the connections: beyond that it closes the one
// that has been idle for longest, so that descriptors are left for the daemon's own traffic.
type Listener struct {
	cfg                Settings
	log                zerolog.Logger
	clock              *timer.Service
	accepted, closings *metrics.Counter
	// evicted counts idle connections that were closed to make room, reclaimed those that sent a request slowly.
	evicted, reclaimed *metrics.Counter

	mu sync.Mutex
	// socket is the listening socket, nil while the listener is closed.
	socket net.Listener
	// changed is closed and replaced when the listener opens or ends.
	changed chan struct{}
	ended   bool
	// draining is set once no connections are accepted any more, drained is closed when the last one has
	// ended after that.
	draining bool
	drained  chan struct{}
	// active is the number of connections with a request in progress, or so new that their first
	// request is still to come; open is the number of all connections.
	active, open int
	// fresh holds the connections on which nothing has arrived for less than silentTime, and idle
	// those without a request in progress. Both are in the order in which they were added.
	fresh, idle *list.List
	// conns holds all connections.
	conns map[*callerConn]struct{}
	// reclaimAt and reclaimBytesAt are when a slow connection is looked for again, after none was found whose place or
	// bytes would help.
	reclaimAt, reclaimBytesAt time.Time
	// reached is set if the limit was reached since the last measurement.
	reached bool
	delay   *runDelay
	limit   *overload.Limit
	state   *overload.State
}

// New returns a listener that is not open yet.
func New(cfg Settings, set *metrics.Set, log zerolog.Logger) *Listener {
	now := time.Now()
	l := &Listener{
		cfg: cfg, log: log, clock: timer.New(now), changed: make(chan struct{}), drained: make(chan struct{}),
		fresh: list.New(), idle: list.New(), conns: map[*callerConn]struct{}{},
		evicted: set.NewCounter("lupinkeel_caller_connections_evicted_total"), reclaimed: set.NewCounter("lupinkeel_caller_connections_reclaimed_total"),
		accepted: set.NewCounter("lupinkeel_caller_connections_accepted_total"), closings: set.NewCounter("lupinkeel_entrance_closings_total"),
		delay: newRunDelay(), limit: overload.NewLimit(cfg.Policy, now), state: overload.NewState(now),
	}
	l.clock.SetStep(restInterval)
	locked := func(read func() float64) func() float64 {
		return func() float64 {
			l.mu.Lock()
			defer l.mu.Unlock()
			return read()
		}
	}
	set.NewGauge("lupinkeel_run_delay_seconds", locked(func() float64 { return l.delay.last.Seconds() }))
	set.NewGauge("lupinkeel_request_limit", locked(func() float64 { return float64(l.limit.Max()) }))
	set.NewGauge("lupinkeel_request_usual_seconds", locked(func() float64 { return l.limit.UsualDuration().Seconds() }))
	set.NewGauge("lupinkeel_entrance_closed_fraction", locked(func() float64 { return l.state.Closed() }))
	set.NewGauge(`lupinkeel_caller_connections{state="active"}`, locked(func() float64 { return float64(l.active) }))
	set.NewGauge(`lupinkeel_caller_connections{state="idle"}`, locked(func() float64 { return float64(l.open - l.active) }))
	return l
}

// Open opens the listener for the first time.
func (l *Listener) Open() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.openSocket(); err != nil {
		return err
	}
	if l.cfg.Addr.Port() == 0 {
		// The listener opens again at the port that the system has chosen.
		l.cfg.Addr = netip.AddrPortFrom(l.cfg.Addr.Addr(), l.socket.Addr().(*net.TCPAddr).AddrPort().Port())
	}
	return nil
}

// Accept returns the next connection. While the listener is closed it waits.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		socket, changed, ended := l.socket, l.changed, l.ended
		l.mu.Unlock()
		if ended {
			return nil, net.ErrClosed
		}
		if socket == nil {
			<-changed
			continue
		}
		conn, err := socket.Accept()
		if errors.Is(err, net.ErrClosed) {
			// The listener was closed or ended meanwhile.
			continue
		}
		if err != nil {
			return nil, err
		}
		l.accepted.Inc()
		c := &callerConn{Conn: conn, listener: l, receiver: receiver{budget: l.cfg.Memory}, acceptedAt: time.Now()}
		l.setState(c, http.StateNew)
		return c, nil
	}
}

// Close ends the listener.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return nil
	}
	l.ended = true
	l.notifyChanged()
	return l.closeSocket()
}

// Drain refuses new connections and closes those on which no request has begun to arrive, and others as soon
// as that is true of them. The channel that it returns is closed when no connection is left.
func (l *Listener) Drain() (drained <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	if err := l.closeSocket(); err != nil {
		l.log.Warn().Err(err).Msg("entrance-not-closed")
	}
	l.drain()
	return l.drained
}

// drain closes the idle connections of a draining listener.
func (l *Listener) drain() {
	if !l.draining {
		return
	}
	for place := l.idle.Front(); place != nil; place = place.Next() {
		c := place.Value.(*callerConn)
		if time.Since(c.idleSince) < aheadTime {
			// A later measurement closes it.
			continue
		}
		if err := c.closeUnused(); err != nil {
			l.log.Debug().Err(err).Msg("connection-not-closed")
		}
	}
	if l.open > 0 {
		return
	}
	select {
	case <-l.drained:
	default:
		close(l.drained)
	}
}

// Addr returns the address for callers.
func (l *Listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.cfg.Addr) }

// ConnState must be called by the server when the state of a connection changes.
func (l *Listener) ConnState(conn net.Conn, state http.ConnState) {
	// Accept has recorded that the connection is new.
	if c, ok := conn.(*callerConn); ok && state != http.StateNew {
		l.setState(c, state)
	}
}

// setState records the state of a connection, and opens or closes the listener accordingly.
func (l *Listener) setState(c *callerConn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.conns[c] = struct{}{}
		l.setCounted(c, true)
		c.moveTo(l.fresh)
		l.setActive(c, true)
	case http.StateActive:
		c.receiver.begin(time.Now())
		c.moveTo(nil)
		l.setActive(c, true)
	case http.StateIdle:
		c.arrival.CompareAndSwap(arrivalBegun, arrivalNone)
		c.receiver.reset()
		c.idleSince = time.Now()
		c.moveTo(l.idle)
		l.setActive(c, false)
	case http.StateClosed, http.StateHijacked:
		c.receiver.reset()
		delete(l.conns, c)
		l.setCounted(c, false)
		c.moveTo(nil)
		l.setActive(c, false)
	}
	l.evict()
	l.update()
	l.drain()
}

func (l *Listener) setActive(c *callerConn, active bool) {
	switch {
	case active == c.active:
		return
	case active:
		l.active++
	default:
		l.active--
	}
	c.active = active
}

func (l *Listener) setCounted(c *callerConn, counted bool) {
	switch {
	case counted == c.counted:
		return
	case counted:
		l.open++
	default:
		l.open--
	}
	c.counted = counted
}

// evict closes idle connections until there is room for another one.
func (l *Listener) evict() {
	for l.open >= l.cfg.MaxConnections && l.idle.Len() > 0 {
		c := l.idle.Front().Value.(*callerConn)
		c.moveTo(nil)
		l.setCounted(c, false)
		l.evicted.Inc()
		c.receiver.abandon()
		if err := c.Conn.Close(); err != nil {
			l.log.Debug().Err(err).Msg("connection-not-closed")
		}
	}
}

const (
	// receivePatience is how long a request may be received before its connection can be reclaimed.
	receivePatience = time.Second
	// reclaimPause is after which time a slow connection is looked for again when there was none.
	reclaimPause = 10 * time.Millisecond
)

// Reclaim closes the connection whose request is received most slowly, to make the bytes that it holds available. It
// reports whether there is one whose request has been received for some time, but not completely. Requests that hold
// little are spared unless together they hold most of what is held, since closing them would help no one.
func (l *Listener) Reclaim() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Before(l.reclaimBytesAt) {
		return false
	}
	slowest, _ := l.slowest(now, buffers.SmallHolder)
	if slowest == nil {
		small, held := l.slowest(now, 0)
		if l.cfg.Memory != nil && int64(2*held) >= l.cfg.Memory.Held() {
			slowest = small
		}
	}
	if slowest == nil || !l.closeSlow(slowest) {
		l.reclaimBytesAt = now.Add(reclaimPause)
		return false
	}
	return true
}

// reclaimPlace is Reclaim for the place of a request in progress, of which each takes one.
func (l *Listener) reclaimPlace(now time.Time) bool {
	if now.Before(l.reclaimAt) {
		return false
	}
	slowest, _ := l.slowest(now, 0)
	if slowest == nil || !l.closeSlow(slowest) {
		l.reclaimAt = now.Add(reclaimPause)
		return false
	}
	return true
}

// slowest returns the connection whose request is received most slowly of those that hold at least a number of bytes,
// nil if there is none, and how many bytes these hold together.
func (l *Listener) slowest(now time.Time, least int) (slowest *callerConn, held int) {
	lowest := math.Inf(1)
	for c := range l.conns {
		rate, age, receives := c.receiver.rate(now)
		holds := c.receiver.holds()
		if !receives || age < receivePatience || holds < least {
			continue
		}
		held += holds
		if rate < lowest {
			slowest, lowest = c, rate
		}
	}
	return slowest, held
}

// closeSlow closes a connection whose request is received slowly. It reports false if the whole request was received
// meanwhile.
func (l *Listener) closeSlow(c *callerConn) bool {
	if !c.receiver.abandon() {
		return false
	}
	delete(l.conns, c)
	l.reclaimed.Inc()
	if err := c.Conn.Close(); err != nil {
		l.log.Debug().Err(err).Msg("connection-not-closed")
	}
	return true
}

// expireFresh counts connections on which nothing has arrived for silentTime as idle.
func (l *Listener) expireFresh(now time.Time) {
	for first := l.fresh.Front(); first != nil; first = l.fresh.Front() {
		c := first.Value.(*callerConn)
		if now.Sub(c.acceptedAt) < silentTime {
			return
		}
		c.moveTo(l.idle)
		l.setActive(c, false)
	}
}

// update opens or closes the listener by the number of requests in progress and of connections.
func (l *Listener) update() {
	limit := l.limit.Max()
	l.reached = l.reached || l.active >= limit
	switch {
	case l.ended, l.draining:
	case l.socket != nil && (l.active >= limit || l.open >= l.cfg.MaxConnections):
		l.closings.Inc()
		if err := l.closeSocket(); err != nil {
			l.log.Warn().Err(err).Msg("entrance-not-closed")
		}
	case l.socket == nil && l.open < l.cfg.MaxConnections && float64(l.active) <= reopenFraction*float64(limit):
		// If it fails, the next measurement tries again.
		if err := l.openSocket(); err != nil {
			l.log.Warn().Err(err).Msg("entrance-not-opened")
		}
	}
}

func (l *Listener) openSocket() error {
	socket, err := net.Listen("tcp", l.cfg.Addr.String())
	if err != nil {
		return err
	}
	l.socket = socket
	l.notifyChanged()
	return nil
}

func (l *Listener) closeSocket() error {
	if l.socket == nil {
		return nil
	}
	err := l.socket.Close()
	l.socket = nil
	return err
}

// notifyChanged wakes Accept.
func (l *Listener) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Run measures delays and adapts the limit until the context ends.
func (l *Listener) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticks := l.clock.Subscribe(delayInterval)
	clock := task.Start(ctx, "clock", l.clock.Run)
	for {
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), task.Wait(clock))
		case tick := <-ticks:
			l.observe(tick)
		}
	}
}

func (l *Listener) observe(tick timer.Tick) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireFresh(tick.At)
	busy := float64(l.active) >= busyFraction*float64(l.limit.Max())
	delay := l.delay.measure(tick.At, tick.Late, busy)
	l.limit.Observe(tick.At, delay, l.active, l.reached)
	if l.socket == nil && !l.ended && !l.draining {
		// Requests that are slow to come must not keep others out.
		surplus := max(float64(l.active)-reopenFraction*float64(l.limit.Max()), float64(l.open-l.cfg.MaxConnections+1))
		for surplus > 0 && l.reclaimPlace(tick.At) {
			surplus--
		}
	}
	l.reached = false
	l.update()
	l.drain()
	l.clock.SetStep(restInterval)
	if busy {
		l.clock.SetStep(delayInterval)
	}
	if l.ended || l.draining {
		return
	}
	was := l.state.Overloaded()
	l.state.Observe(tick.At, l.socket == nil)
	if is := l.state.Overloaded(); is != was {
		if l.cfg.Notify != nil {
			l.cfg.Notify(is)
		}
		event := l.log.Warn().Int("requests", l.active).Int("connections", l.open).Int("limit", l.limit.Max()).Dur("delay", delay).
			Float64("closed", l.state.Closed())
		if is {
			event.Msg("overload-began")
		} else {
			event.Msg("overload-ended")
		}
	}
}

// Served records how long a request took that was served.
func (l *Listener) Served(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit.Served(time.Now(), took)
}

// isFull reports whether the listener is closed because of requests in progress or connections.
func (l *Listener) isFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.socket == nil && !l.ended && !l.draining
}

// Overloaded reports whether the listener is closed so often that the load balancer should send
// callers elsewhere.
func (l *Listener) Overloaded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Overloaded()
}
