package cluster

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lupinkeel/lupinkeel/lib/frame"
	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// heartbeatEvery is how often a daemon tells another of itself. Where
	// there are many, all but the one that plans do so less often.
	heartbeatEvery = 300 * time.Millisecond
	sparseEvery    = 1200 * time.Millisecond
	// ManyDaemons is beyond how many daemons they tell each other less often:
	// each change is a message from one to all, and all have changes to tell.
	ManyDaemons = 20
	// writeTimeout bounds the sending of one message to another daemon.
	writeTimeout = 500 * time.Millisecond
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
	zone  string
	news  <-chan News
	woken <-chan struct{}
	back  <-chan struct{}
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
		case <-l.back:
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
	conn := n.framed(dialed, l.zone)
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	beats := time.NewTicker(heartbeatEvery)
	defer beats.Stop()
	told, err := n.beat(conn, l.id, 0)
	conn.met = true
	beaten := time.Now()
	if err != nil {
		return err
	}
	seen, err := n.tellLoads(conn, 0, false)
	for err == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-beats.C:
			if !n.planning.Load() && now.Sub(beaten) < beatEvery(n.View().Daemons) {
				continue
			}
			beaten = now
			if told, err = n.beat(conn, l.id, told); err == nil {
				seen, err = n.tellLoads(conn, seen, n.View().relays[l.id])
			}
		case <-l.woken:
			seen, err = n.tellLoads(conn, seen, n.View().relays[l.id])
		case m := <-l.news:
			kind := frameNews
			if len(m.Loads) > 0 {
				kind = frameLoads
			}
			err = conn.send(kind, m)
		}
	}
	return err
}

// framedConn is a connection to another daemon that counts what is sent on it
// by the kind of frame.
type framedConn struct {
	net.Conn
	// met tells that the first heartbeat was sent.
	met  bool
	sent map[frame.Kind]*metrics.Counter
}

func (n *Node) framed(conn net.Conn, zone string) framedConn {
	c := framedConn{Conn: conn, sent: map[frame.Kind]*metrics.Counter{}}
	for kind, about := range frameNames {
		c.sent[kind] = n.stats.set.GetOrCreateCounter(fmt.Sprintf("lupinkeel_peer_bytes_total{about=%q,zone=%q}", about, zone))
	}
	return c
}

// send sends one frame.
func (c framedConn) send(kind frame.Kind, value any) error {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := frame.Write(c, kind, value)
	c.sent[kind].Add(n)
	return err
}

// beat sends a heartbeat, and the configuration if the other daemon asks for
// it.
func (n *Node) beat(conn framedConn, to models.DaemonID, told int64) (int64, error) {
	beat := n.heartbeat()
	if conn.met {
		beat = beat.short()
	}
	if err := conn.send(frameHeartbeat, beat); err != nil {
		return told, err
	}
	return n.tellConfig(conn, to, told)
}

// beatEvery is how often a daemon that is one of so many tells of itself.
func beatEvery(daemons int) time.Duration {
	if daemons > ManyDaemons {
		return sparseEvery
	}
	return heartbeatEvery
}

// tellLoads tells the loads that have changed since an earlier call; the
// first one tells all. The other daemon is asked to relay them if wanted.
func (n *Node) tellLoads(conn framedConn, seen uint64, relay bool) (uint64, error) {
	loads, last := n.traffic.LoadsSince(seen)
	if len(loads) == 0 && seen > 0 {
		return last, nil
	}
	news := News{Change: last, Relay: relay, All: seen == 0, Loads: loads}
	return last, conn.send(frameLoads, news)
}

// tellConfig hands the configuration over to a daemon that asks for it.
func (n *Node) tellConfig(conn framedConn, to models.DaemonID, told int64) (int64, error) {
	v := n.View()
	if !v.wantedBy[to] || v.version() <= told {
		return told, nil
	}
	c := ConfigCopy{Version: v.version(), Age: time.Since(v.Proven), Data: v.config}
	return c.Version, conn.send(frameConfig, c)
}
