package cluster

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lupinkeel/lupinkeel/lib/frame"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/ratelimit"
)

// A daemon that wants to send a request to an instance with a rate limit asks the granter of the
// instance's zone for a permit. It does so on a separate connection, which is opened on demand.

const (
	// permitTimeout bounds the wait for a permit: several round trips within a region, and little
	// of the time that any request has.
	permitTimeout = 150 * time.Millisecond
	// granterBackoff is how long a granter that did not answer gets no requests for permits.
	granterBackoff = 300 * time.Millisecond
)

// Errors of RequestPermit.
var (
	// ErrNoGranter: no granter is known for the zone.
	ErrNoGranter = errors.New("no daemon grants permits for this availability zone")
	// ErrGranterUnavailable: the granter did not answer.
	ErrGranterUnavailable = errors.New("the daemon that grants permits does not answer")
)

// permitRequest asks for a permit for instances of a zone; permitReply answers it.
type (
	permitRequest struct {
		Seq     uint64                  `msgpack:"n"`
		Zone    models.Zone             `msgpack:"z"`
		Request ratelimit.PermitRequest `msgpack:"a"`
	}
	permitReply struct {
		Seq   uint64          `msgpack:"n"`
		Grant ratelimit.Grant `msgpack:"g"`
	}
)

// permits holds the token buckets of the instances that this daemon grants permits for, and the
// connections to other granters. It is safe for concurrent use.
type permits struct {
	n                             *Node
	granted, rejected, unanswered *metrics.Counter

	buckets sync.Mutex
	granter ratelimit.Granter

	// running is the context that ends when no more connections are to be opened; nil before run.
	running atomic.Pointer[context.Context]

	mu    sync.Mutex
	conns map[models.DaemonID]*granterConn
}

func newPermits(n *Node, set *metrics.Set) *permits {
	return &permits{
		n:          n,
		granted:    set.NewCounter(`lupinkeel_permits_total{outcome="granted"}`),
		rejected:   set.NewCounter(`lupinkeel_permits_total{outcome="refused"}`),
		unanswered: set.NewCounter(`lupinkeel_permits_total{outcome="unanswered"}`),
		conns:      map[models.DaemonID]*granterConn{},
	}
}

// run allows connections until the context ends, and then closes them.
func (p *permits) run(ctx context.Context) error {
	p.running.Store(&ctx)
	ticks := p.n.clock.Subscribe(sweepInterval)
	for {
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), p.close())
		case tick := <-ticks:
			p.buckets.Lock()
			p.granter.Prune(tick.At)
			p.buckets.Unlock()
		}
	}
}

// close closes all connections and waits for their readers.
func (p *permits) close() error {
	p.mu.Lock()
	var readers []task.Task
	for _, c := range p.conns {
		readers = append(readers, c.disconnect()...)
	}
	p.mu.Unlock()
	return task.Wait(readers...)
}

// RequestPermit requests a permit to send a request to one of several instances of a zone.
func (n *Node) RequestPermit(ctx context.Context, zone models.Zone, req ratelimit.PermitRequest) (ratelimit.Grant, error) {
	grant, err := n.permits.request(ctx, zone, req)
	switch {
	case err != nil:
		n.permits.unanswered.Inc()
	case grant.Granted:
		n.permits.granted.Inc()
	default:
		n.permits.rejected.Inc()
	}
	return grant, err
}

// charge counts a probe against the instance's limit. Probes need no permit, because they are sent
// when something is wrong and can't wait.
func (p *permits) charge(ctx context.Context, i models.UpstreamInstance) {
	rate := p.n.limits.Rate(i, time.Now())
	if rate == models.NoRateLimit {
		return
	}
	_, err := p.request(ctx, i.Zone, ratelimit.PermitRequest{Charge: true, Candidates: []ratelimit.Candidate{{Instance: i.ID, Rate: rate}}})
	if err != nil {
		p.n.log.Debug().Str("instance", string(i.ID)).Err(err).Msg("report-not-charged")
	}
}

func (p *permits) request(ctx context.Context, zone models.Zone, req ratelimit.PermitRequest) (ratelimit.Grant, error) {
	v := p.n.View()
	if v.Topology == nil {
		return ratelimit.Grant{}, ErrNoGranter
	}
	id := v.Topology.Granter(zone)
	if id == p.n.cfg.ID {
		return p.grant(zone, req), nil
	}
	addr, known := v.granters[id]
	if !known {
		return ratelimit.Grant{}, ErrNoGranter
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	return p.conn(id, addr).request(ctx, zone, req)
}

// grant grants a permit if this daemon's share of the instances' rates allows it.
func (p *permits) grant(zone models.Zone, req ratelimit.PermitRequest) ratelimit.Grant {
	v, now := p.n.View(), time.Now()
	share := 0.0
	if v.Topology != nil {
		share = v.Topology.ShareOf(v.shares, zone)
	}
	rate := func(w ratelimit.Candidate) float64 {
		i, known := v.Instances[w.Instance]
		if !known {
			i.ID = w.Instance
		}
		return share * min(w.Rate, p.n.limits.Rate(i, now))
	}
	p.buckets.Lock()
	defer p.buckets.Unlock()
	grant := p.granter.Decide(req, rate, now)
	if share < 1 {
		// Heartbeats that give this daemon the remaining share may be in flight.
		for n := range grant.Waits {
			grant.Waits[n] = min(grant.Waits[n], heartbeatInterval)
		}
	}
	return grant
}

// conn returns the connection to a granter.
func (p *permits) conn(id models.DaemonID, addr netip.AddrPort) *granterConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[id]
	if c != nil && c.addr == addr {
		return c
	}
	if c != nil {
		// The reader ends with the connection.
		c.disconnect()
	}
	c = &granterConn{p: p, addr: addr}
	p.conns[id] = c
	return c
}

// granterConn is a connection to a granter.
type granterConn struct {
	p    *permits
	addr netip.AddrPort

	mu   sync.Mutex
	conn *framedConn
	// reader is the task that reads replies; it ends with the connection.
	reader  task.Task
	seq     uint64
	pending map[uint64]chan<- ratelimit.Grant
	// backoffUntil is the time until which the granter gets no requests.
	backoffUntil time.Time
}

// request sends a request and waits for the reply.
func (c *granterConn) request(ctx context.Context, zone models.Zone, req ratelimit.PermitRequest) (ratelimit.Grant, error) {
	reply, err := c.send(ctx, zone, req)
	if err != nil {
		return ratelimit.Grant{}, errors.Join(ErrGranterUnavailable, err)
	}
	select {
	case grant, ok := <-reply:
		if ok {
			return grant, nil
		}
		return ratelimit.Grant{}, ErrGranterUnavailable
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.backOff()
		}
		return ratelimit.Grant{}, errors.Join(ErrGranterUnavailable, ctx.Err())
	}
}

// send sends a request, after connecting if there is no connection. The channel receives the reply,
// or is closed if there is none.
func (c *granterConn) send(ctx context.Context, zone models.Zone, req ratelimit.PermitRequest) (<-chan ratelimit.Grant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.backoffUntil) {
		return nil, ErrGranterUnavailable
	}
	if c.conn == nil {
		if err := c.connect(ctx); err != nil {
			c.backoffUntil = time.Now().Add(granterBackoff)
			return nil, err
		}
	}
	c.seq++
	reply := make(chan ratelimit.Grant, 1)
	c.pending[c.seq] = reply
	if err := c.conn.send(framePermitRequest, permitRequest{Seq: c.seq, Zone: zone, Request: req}); err != nil {
		c.dropConn(c.conn)
		return nil, err
	}
	return reply, nil
}

// connect opens the connection. The caller must hold the lock.
func (c *granterConn) connect(ctx context.Context) error {
	running := c.p.running.Load()
	if running == nil || (*running).Err() != nil {
		return ErrGranterUnavailable
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	dialed, err := dialer.DialContext(ctx, "tcp4", c.addr.String())
	if err != nil {
		return err
	}
	conn := c.p.n.framed(dialed, "granter")
	c.conn, c.pending = &conn, map[uint64]chan<- ratelimit.Grant{}
	c.reader = task.Start(*running, "grants", func(context.Context) error {
		err := c.readReplies(&conn)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.dropConn(&conn)
		c.p.n.log.Debug().Stringer("granter", c.addr).Err(err).Msg("granter-left")
		return nil
	})
	return nil
}

// readReplies passes replies to the requests that wait for them.
func (c *granterConn) readReplies(conn *framedConn) error {
	r := bufio.NewReader(conn)
	for {
		kind, body, err := frame.Read(r)
		if err != nil {
			return err
		}
		var reply permitReply
		if kind != framePermitReply {
			return frame.ErrFormat
		}
		if err := frame.Decode(body, &reply); err != nil {
			return err
		}
		c.mu.Lock()
		waiter := c.pending[reply.Seq]
		delete(c.pending, reply.Seq)
		c.mu.Unlock()
		if waiter != nil {
			waiter <- reply.Grant
		}
	}
}

// backOff sends the granter no requests for granterBackoff, and closes the connection.
func (c *granterConn) backOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffUntil = time.Now().Add(granterBackoff)
	c.dropConn(c.conn)
}

// dropConn closes a connection if it is the current one. The caller must hold the lock.
func (c *granterConn) dropConn(conn *framedConn) {
	if conn == nil || c.conn != conn {
		return
	}
	// The connection is not used any more, even if closing it fails.
	_ = conn.Close()
	for _, reply := range c.pending {
		close(reply)
	}
	c.conn, c.pending = nil, nil
}

// disconnect closes the connection and returns its reader, to be waited for.
func (c *granterConn) disconnect() []task.Task {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		return nil
	}
	c.dropConn(c.conn)
	return []task.Task{c.reader}
}

// handleRequest answers a permit request on its connection.
func (p *permits) handleRequest(conn framedConn, body []byte) error {
	var req permitRequest
	if err := frame.Decode(body, &req); err != nil {
		return err
	}
	return conn.send(framePermitReply, permitReply{Seq: req.Seq, Grant: p.grant(req.Zone, req.Request)})
}
