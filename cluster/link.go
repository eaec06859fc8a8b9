package cluster

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lupinkeel/lupinkeel/lib/frame"
	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// heartbeatEvery is how often a daemon tells another of itself that relies on
	// it, sparseEvery how often it tells one on which it relies.
	heartbeatEvery = 300 * time.Millisecond
	sparseEvery    = 1200 * time.Millisecond
	// writeTimeout bounds the sending of one message to another daemon: news of 766
	// instances to 58 daemons take a relay with 200 Mbit/s 0.3 s.
	writeTimeout = 1500 * time.Millisecond
	// redialPause is the first pause before a connection is made again.
	redialPause = 300 * time.Millisecond
	// mostRedial bounds the pause, which doubles while a daemon does not
	// answer: those that were replaced at another address never will.
	mostRedial = 1200 * time.Millisecond
)

// link is what one connection to another daemon is fed by.
type link struct {
	id   models.DaemonID
	addr netip.AddrPort
	// zone says in the metrics whether the other daemon is in this one's zone.
	zone string
	end  *linkEnd
}

// keepLink tells one other daemon of this one, on one connection after the
// other.
func (n *Node) keepLink(ctx context.Context, l link) error {
	wait := redialPause
	for ctx.Err() == nil {
		began := time.Now()
		err := n.runLink(ctx, l)
		n.log.Debug().Str("peer", string(l.id)).Err(err).Msg("link-ended")
		if time.Since(began) > mostRedial {
			wait = redialPause
		}
		select {
		case <-ctx.Done():
			return nil
		case <-l.end.back:
			wait = redialPause
		case <-time.After(wait):
			wait = min(mostRedial, 2*wait)
		}
	}
	return nil
}

// runLink tells on one connection until it fails.
func (n *Node) runLink(ctx context.Context, l link) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	dialed, err := dialer.DialContext(ctx, "tcp4", l.addr.String())
	if err != nil {
		return err
	}
	t := &teller{framedConn: n.framed(dialed, l.zone), n: n, link: l}
	defer t.Close()
	stop := context.AfterFunc(ctx, func() { t.Close() })
	defer stop()
	n.links.unsync(l.end)
	if err := t.beat(); err != nil {
		return err
	}
	return t.run(ctx)
}

// teller tells another daemon of this one on one connection.
type teller struct {
	framedConn
	n    *Node
	link link
	// met tells that the first heartbeat was sent, beaten when the last one was.
	met    bool
	beaten time.Time
	// config is the version of the configuration that was handed over last, loads
	// the last change of this daemon's loads that was told; zero if none was.
	config int64
	loads  uint64
	// crashes, limits and signals are the last changes that were told of what is known of
	// crashed instances, of instances' limits, and of what they ask for; toldFound tells
	// that all before them were.
	crashes   uint64
	limits    uint64
	signals   uint64
	toldFound bool
}

func (t *teller) run(ctx context.Context) error {
	beats := time.NewTicker(heartbeatEvery)
	defer beats.Stop()
	end := t.link.end
	var err error
	for err == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-beats.C:
			// Tickers fire a little early or late.
			if now.Sub(t.beaten) >= t.n.beatEvery(*end.attrs.Load())-heartbeatEvery/2 {
				err = t.beat()
			}
		case <-end.beat:
			err = t.beat()
		case <-end.woken:
			if err = t.tellLoads(); err == nil {
				err = t.tellFound()
			}
		case f := <-end.frames:
			err = t.sendFrame(f.forEnd(end))
		}
	}
	return err
}

// beat sends a heartbeat, the loads, crashes and limits that are new, and the configuration
// if the other daemon asks for it.
func (t *teller) beat() error {
	t.beaten = time.Now()
	beat := t.n.heartbeat(t.link.id, *t.link.end.attrs.Load())
	if t.met {
		beat = beat.short()
	}
	if err := t.send(frameHeartbeat, beat); err != nil {
		return err
	}
	t.met = true
	if err := t.tellLoads(); err != nil {
		return err
	}
	if err := t.tellFound(); err != nil {
		return err
	}
	return t.tellConfig()
}

// tellLoads tells the loads that have changed since an earlier call; the first
// one tells all. One that is not to know them any more is told that there are
// none.
func (t *teller) tellLoads() error {
	if !t.n.tellsLoads(*t.link.end.attrs.Load()) {
		if t.loads == 0 {
			return nil
		}
		forgotten := News{Change: t.loads + 1, All: true}
		t.loads = 0
		return t.send(frameLoads, forgotten)
	}
	loads, last := t.n.traffic.LoadsSince(t.loads)
	if len(loads) == 0 && t.loads > 0 {
		return nil
	}
	news := News{Change: last, All: t.loads == 0, Loads: loads}
	t.loads = max(1, last)
	return t.send(frameLoads, news)
}

// tellConfig hands the configuration over to a daemon that asks for it.
func (t *teller) tellConfig() error {
	v := t.n.View()
	if !v.wantedBy[t.link.id] || v.version() <= t.config {
		return nil
	}
	c := ConfigCopy{Version: v.version(), Age: time.Since(v.Proven), Data: v.config}
	t.config = c.Version
	return t.send(frameConfig, c)
}

// tellsLoads reports whether a daemon is told of this one's loads.
func (n *Node) tellsLoads(l membership.Link) bool { return l.UsesLoads || n.View().mesh() }

// beatEvery is how often a daemon is told of this one.
func (n *Node) beatEvery(l membership.Link) time.Duration {
	if l.Frequent || n.planning.Load() {
		return heartbeatEvery
	}
	return sparseEvery
}

// framedConn is a connection to another daemon that counts what is sent on it
// by the kind of frame.
type framedConn struct {
	net.Conn
	sent map[frame.Kind]*metrics.Counter
}

func (n *Node) framed(conn net.Conn, zone string) framedConn {
	c := framedConn{Conn: conn, sent: map[frame.Kind]*metrics.Counter{}}
	for kind, about := range frameNames {
		c.sent[kind] = n.stats.set.GetOrCreateCounter(fmt.Sprintf("lupinkeel_peer_bytes_total{about=%q,zone=%q}", about, zone))
	}
	return c
}

// send sends a value as one frame.
func (c framedConn) send(kind frame.Kind, value any) error {
	f, err := frame.Encode(kind, value)
	if err != nil {
		return err
	}
	return c.sendFrame(f)
}

// sendFrame sends one frame.
func (c framedConn) sendFrame(f frame.Frame) error {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := c.Write(f.Bytes)
	c.sent[f.Kind].Add(n)
	return err
}
