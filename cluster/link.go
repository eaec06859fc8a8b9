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
	heartbeatInterval      = 300 * time.Millisecond
	relayHeartbeatInterval = 1200 * time.Millisecond
	// writeTimeout bounds the sending of one message to another daemon: news of 766
	// instances to 58 daemons take a relay with 200 Mbit/s 0.3 s.
	writeTimeout = 1500 * time.Millisecond
	// redialPause is the first pause before a connection is made again.
	minRedialBackoff = 300 * time.Millisecond
	// mostRedial bounds the pause, which doubles while a daemon does not
	// answer: those that were replaced at another address never will.
	maxRedialBackoff = 1200 * time.Millisecond
)

// link is what one connection to another daemon is fed by.
type linkConfig struct {
	id   models.DaemonID
	addr netip.AddrPort
	// zone says in the metrics whether the other daemon is in this one's zone.
	zone string
	peer *peerLink
}

// keepLink tells one other daemon of this one, on one connection after the
// other.
func (n *Node) maintainLink(ctx context.Context, l linkConfig) error {
	wait := minRedialBackoff
	for ctx.Err() == nil {
		began := time.Now()
		err := n.runLink(ctx, l)
		n.log.Debug().Str("peer", string(l.id)).Err(err).Msg("link-ended")
		if time.Since(began) > maxRedialBackoff {
			wait = minRedialBackoff
		}
		select {
		case <-ctx.Done():
			return nil
		case <-l.peer.peerRestarted:
			wait = minRedialBackoff
		case <-time.After(wait):
			wait = min(maxRedialBackoff, 2*wait)
		}
	}
	return nil
}

// runLink tells on one connection until it fails.
func (n *Node) runLink(ctx context.Context, l linkConfig) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	dialed, err := dialer.DialContext(ctx, "tcp4", l.addr.String())
	if err != nil {
		return err
	}
	t := &linkWriter{framedConn: n.framed(dialed, l.zone), n: n, link: l}
	defer t.Close()
	stop := context.AfterFunc(ctx, func() { t.Close() })
	defer stop()
	n.links.resetQueue(l.peer)
	if err := t.sendHeartbeat(); err != nil {
		return err
	}
	return t.run(ctx)
}

// teller tells another daemon of this one on one connection.
type linkWriter struct {
	framedConn
	n    *Node
	link linkConfig
	// met tells that the first heartbeat was sent, beaten when the last one was.
	sentFullHeartbeat bool
	lastHeartbeat     time.Time
	// config is the version of the configuration that was handed over last, loads
	// the last change of this daemon's loads that was told; zero if none was.
	sentConfig int64
	sentLoads  uint64
	// crashes, limits and signals are the last changes that were told of what is known of
	// crashed instances, of instances' limits, and of what they ask for; toldFound tells
	// that all before them were.
	sentCrashes     uint64
	sentLimits      uint64
	sentSignals     uint64
	sentAllFindings bool
}

func (t *linkWriter) run(ctx context.Context) error {
	heartbeats := time.NewTicker(heartbeatInterval)
	defer heartbeats.Stop()
	peer := t.link.peer
	var err error
	for err == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-heartbeats.C:
			// Tickers fire a little early or late.
			if now.Sub(t.lastHeartbeat) >= t.n.heartbeatIntervalFor(*peer.sharedRole.Load())-heartbeatInterval/2 {
				err = t.sendHeartbeat()
			}
		case <-peer.heartbeatDue:
			err = t.sendHeartbeat()
		case <-peer.updatesReady:
			if err = t.sendLoads(); err == nil {
				err = t.sendFindings()
			}
		case f := <-peer.frames:
			err = t.sendFrame(f.forPeer(peer))
		}
	}
	return err
}

// beat sends a heartbeat, the loads, crashes and limits that are new, and the configuration
// if the other daemon asks for it.
func (t *linkWriter) sendHeartbeat() error {
	t.lastHeartbeat = time.Now()
	heartbeat := t.n.heartbeat(t.link.id, *t.link.peer.sharedRole.Load())
	if t.sentFullHeartbeat {
		heartbeat = heartbeat.abbreviated()
	}
	if err := t.send(frameHeartbeat, heartbeat); err != nil {
		return err
	}
	t.sentFullHeartbeat = true
	if err := t.sendLoads(); err != nil {
		return err
	}
	if err := t.sendFindings(); err != nil {
		return err
	}
	return t.sendConfig()
}

// tellLoads tells the loads that have changed since an earlier call; the first
// one tells all. One that is not to know them any more is told that there are
// none.
func (t *linkWriter) sendLoads() error {
	if !t.n.sendsLoadsTo(*t.link.peer.sharedRole.Load()) {
		if t.sentLoads == 0 {
			return nil
		}
		withdrawn := Update{LoadsVersion: t.sentLoads + 1, Full: true}
		t.sentLoads = 0
		return t.send(frameLoads, withdrawn)
	}
	loads, last := t.n.traffic.LoadsSince(t.sentLoads)
	if len(loads) == 0 && t.sentLoads > 0 {
		return nil
	}
	update := Update{LoadsVersion: last, Full: t.sentLoads == 0, Loads: loads}
	t.sentLoads = max(1, last)
	return t.send(frameLoads, update)
}

// tellConfig hands the configuration over to a daemon that asks for it.
func (t *linkWriter) sendConfig() error {
	v := t.n.View()
	if !v.configRequesters[t.link.id] || v.version() <= t.sentConfig {
		return nil
	}
	c := ConfigCopy{Version: v.version(), Age: time.Since(v.Proven), Data: v.config}
	t.sentConfig = c.Version
	return t.send(frameConfig, c)
}

// tellsLoads reports whether a daemon is told of this one's loads.
func (n *Node) sendsLoadsTo(l membership.Link) bool { return l.RelaysFirst || n.View().mesh() }

// beatEvery is how often a daemon is told of this one.
func (n *Node) heartbeatIntervalFor(l membership.Link) time.Duration {
	if l.Often || n.planning.Load() {
		return heartbeatInterval
	}
	return relayHeartbeatInterval
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
