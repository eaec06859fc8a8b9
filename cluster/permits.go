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

// A daemon that is to send a request to an instance with a limit asks the granter of the
// instance's zone for a permit, on a connection of its own that lasts while permits are asked
// for.

const (
	// permitTimeout bounds the wait for a permit: some ways there and back within a region,
	// little of the time that any request has.
	permitTimeout = 150 * time.Millisecond
	// granterRest is for how long a granter that did not answer is not asked.
	granterRest = 300 * time.Millisecond
)

// Errors of AskPermit.
var (
	// ErrNoGranter: no daemon is known that grants permits for the zone.
	ErrNoGranter = errors.New("no daemon grants permits for this availability zone")
	// ErrNoGrant: the granter did not answer.
	ErrNoGrant = errors.New("the daemon that grants permits does not answer")
)

// permitAsk asks for a permit for instances of a zone, permitGrant answers it.
type (
	permitAsk struct {
		Number uint64                  `msgpack:"n"`
		Zone   models.Zone             `msgpack:"z"`
		Ask    ratelimit.PermitRequest `msgpack:"a"`
	}
	permitGrant struct {
		Number uint64          `msgpack:"n"`
		Grant  ratelimit.Grant `msgpack:"g"`
	}
)

// permits holds the buckets of the instances that this daemon grants permits for, and the
// connections to daemons that grant others. It is safe for use by several goroutines.
type permits struct {
	n                           *Node
	granted, refused, noAnswers *metrics.Counter

	buckets sync.Mutex
	granter ratelimit.Granter

	// running ends when no more connections are to be made; nil before run.
	running atomic.Pointer[context.Context]

	mu    sync.Mutex
	conns map[models.DaemonID]*granterConn
}

func newPermits(n *Node, set *metrics.Set) *permits {
	return &permits{
		n:         n,
		granted:   set.NewCounter(`lupinkeel_permits_total{outcome="granted"}`),
		refused:   set.NewCounter(`lupinkeel_permits_total{outcome="refused"}`),
		noAnswers: set.NewCounter(`lupinkeel_permits_total{outcome="unanswered"}`),
		conns:     map[models.DaemonID]*granterConn{},
	}
}

// run has connections be made until the context ends, and closes them then.
func (p *permits) run(ctx context.Context) error {
	p.running.Store(&ctx)
	ticks := p.n.clock.Subscribe(sweepEvery)
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

// close ends all connections and waits for their readers.
func (p *permits) close() error {
	p.mu.Lock()
	var readers []task.Task
	for _, c := range p.conns {
		readers = append(readers, c.end()...)
	}
	p.mu.Unlock()
	return task.Wait(readers...)
}

// AskPermit asks for a permit to send a request to one of several instances of a zone.
func (n *Node) AskPermit(ctx context.Context, zone models.Zone, ask ratelimit.PermitRequest) (ratelimit.Grant, error) {
	grant, err := n.permits.ask(ctx, zone, ask)
	switch {
	case err != nil:
		n.permits.noAnswers.Inc()
	case grant.Granted:
		n.permits.granted.Inc()
	default:
		n.permits.refused.Inc()
	}
	return grant, err
}

// charge counts what is sent to an instance without a permit against its limit: reports are
// asked for when something is wrong, and can't wait.
func (p *permits) charge(ctx context.Context, i models.UpstreamInstance) {
	rate := p.n.limits.Rate(i, time.Now())
	if rate == models.NoRateLimit {
		return
	}
	_, err := p.ask(ctx, i.Zone, ratelimit.PermitRequest{Charge: true, Candidates: []ratelimit.Candidate{{Instance: i.ID, Rate: rate}}})
	if err != nil {
		p.n.log.Debug().Str("instance", string(i.ID)).Err(err).Msg("report-not-charged")
	}
}

func (p *permits) ask(ctx context.Context, zone models.Zone, ask ratelimit.PermitRequest) (ratelimit.Grant, error) {
	v := p.n.View()
	if v.Arranged == nil {
		return ratelimit.Grant{}, ErrNoGranter
	}
	id := v.Arranged.Granter(zone)
	if id == p.n.cfg.ID {
		return p.grant(zone, ask), nil
	}
	addr, known := v.granters[id]
	if !known {
		return ratelimit.Grant{}, ErrNoGranter
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	return p.conn(id, addr).ask(ctx, zone, ask)
}

// grant grants a permit if this daemon's share of the instances' rates allows it.
func (p *permits) grant(zone models.Zone, ask ratelimit.PermitRequest) ratelimit.Grant {
	v, now := p.n.View(), time.Now()
	share := 0.0
	if v.Arranged != nil {
		share = v.Arranged.ShareOf(v.shares, zone)
	}
	rate := func(w ratelimit.Candidate) float64 {
		i, known := v.All[w.Instance]
		if !known {
			i.ID = w.Instance
		}
		return share * min(w.Rate, p.n.limits.Rate(i, now))
	}
	p.buckets.Lock()
	defer p.buckets.Unlock()
	grant := p.granter.Decide(ask, rate, now)
	if share < 1 {
		// Heartbeats of those who ask this daemon may be on their way.
		for n := range grant.Waits {
			grant.Waits[n] = min(grant.Waits[n], heartbeatEvery)
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
		// Its reader ends with the connection.
		c.end()
	}
	c = &granterConn{p: p, addr: addr}
	p.conns[id] = c
	return c
}

// granterConn is a connection on which permits are asked for.
type granterConn struct {
	p    *permits
	addr netip.AddrPort

	mu   sync.Mutex
	conn *framedConn
	// read ends with the reader of the connection.
	read    task.Task
	number  uint64
	waiting map[uint64]chan<- ratelimit.Grant
	// rests is until when the granter is not asked.
	rests time.Time
}

// ask asks and waits for the answer.
func (c *granterConn) ask(ctx context.Context, zone models.Zone, ask ratelimit.PermitRequest) (ratelimit.Grant, error) {
	answer, err := c.send(ctx, zone, ask)
	if err != nil {
		return ratelimit.Grant{}, errors.Join(ErrNoGrant, err)
	}
	select {
	case grant, ok := <-answer:
		if ok {
			return grant, nil
		}
		return ratelimit.Grant{}, ErrNoGrant
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.rest()
		}
		return ratelimit.Grant{}, errors.Join(ErrNoGrant, ctx.Err())
	}
}

// send sends an ask on the connection, which is made if there is none. The channel yields
// the answer, or is closed if none comes.
func (c *granterConn) send(ctx context.Context, zone models.Zone, ask ratelimit.PermitRequest) (<-chan ratelimit.Grant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.rests) {
		return nil, ErrNoGrant
	}
	if c.conn == nil {
		if err := c.connect(ctx); err != nil {
			c.rests = time.Now().Add(granterRest)
			return nil, err
		}
	}
	c.number++
	answer := make(chan ratelimit.Grant, 1)
	c.waiting[c.number] = answer
	if err := c.conn.send(frameAsk, permitAsk{Number: c.number, Zone: zone, Ask: ask}); err != nil {
		c.drop(c.conn)
		return nil, err
	}
	return answer, nil
}

// connect makes the connection. It must be locked.
func (c *granterConn) connect(ctx context.Context) error {
	running := c.p.running.Load()
	if running == nil || (*running).Err() != nil {
		return ErrNoGrant
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	dialed, err := dialer.DialContext(ctx, "tcp4", c.addr.String())
	if err != nil {
		return err
	}
	conn := c.p.n.framed(dialed, "granter")
	c.conn, c.waiting = &conn, map[uint64]chan<- ratelimit.Grant{}
	c.read = task.Start(*running, "grants", func(context.Context) error {
		err := c.readAll(&conn)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.drop(&conn)
		c.p.n.log.Debug().Stringer("granter", c.addr).Err(err).Msg("granter-left")
		return nil
	})
	return nil
}

// readAll hands answers to those who wait for them.
func (c *granterConn) readAll(conn *framedConn) error {
	r := bufio.NewReader(conn)
	for {
		kind, body, err := frame.Read(r)
		if err != nil {
			return err
		}
		var told permitGrant
		if kind != frameGrant {
			return frame.ErrFormat
		}
		if err := frame.Decode(body, &told); err != nil {
			return err
		}
		c.mu.Lock()
		answer := c.waiting[told.Number]
		delete(c.waiting, told.Number)
		c.mu.Unlock()
		if answer != nil {
			answer <- told.Grant
		}
	}
}

// rest has the granter not be asked for a while.
func (c *granterConn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rests = time.Now().Add(granterRest)
	c.drop(c.conn)
}

// drop closes a connection, if it is still the one in use. It must be locked.
func (c *granterConn) drop(conn *framedConn) {
	if conn == nil || c.conn != conn {
		return
	}
	// It is of no use any more, whether it closes well or not.
	_ = conn.Close()
	for _, answer := range c.waiting {
		close(answer)
	}
	c.conn, c.waiting = nil, nil
}

// end closes the connection and returns its reader, to be waited for.
func (c *granterConn) end() []task.Task {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		return nil
	}
	c.drop(c.conn)
	return []task.Task{c.read}
}

// answer grants a permit, or none, to the daemon at the other end of a connection.
func (p *permits) answer(conn framedConn, body []byte) error {
	var ask permitAsk
	if err := frame.Decode(body, &ask); err != nil {
		return err
	}
	return conn.send(frameGrant, permitGrant{Number: ask.Number, Grant: p.grant(ask.Zone, ask.Ask)})
}
