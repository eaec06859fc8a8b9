package cluster

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lupinkeel/lupinkeel/lib/echo"
	"github.com/lupinkeel/lupinkeel/lib/frame"
	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// heartbeatInterval is the interval of heartbeats to a daemon that depends on them, and
	// relayHeartbeatInterval the longer one of heartbeats from a daemon to its relay.
	heartbeatInterval      = 300 * time.Millisecond
	relayHeartbeatInterval = 1200 * time.Millisecond
	// writeTimeout bounds sending one message to another daemon. A snapshot of 766 instances for 58
	// daemons takes a relay 0.3 s at 200 Mbit/s.
	writeTimeout = 1500 * time.Millisecond
	// minRedialBackoff is the pause before the first attempt to reconnect.
	minRedialBackoff = 300 * time.Millisecond
	// maxRedialBackoff bounds the pause, which doubles while a daemon does not answer. Daemons that
	// were replaced at another address never answer.
	maxRedialBackoff = 1200 * time.Millisecond
)

// linkConfig describes the link to another daemon.
type linkConfig struct {
	id   models.DaemonID
	addr netip.AddrPort
	// zone is the zone label of the link's metrics: "own" or "other".
	zone string
	peer *peerLink
}

// maintainLink keeps a connection to another daemon open until the context ends.
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

// runLink connects to another daemon and sends to it until the connection fails.
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

// linkWriter sends this daemon's messages to another daemon on one connection.
type linkWriter struct {
	framedConn
	n    *Node
	link linkConfig
	// sentFullHeartbeat is set once the complete heartbeat was sent, sentEcho once one with an echo was.
	sentFullHeartbeat, sentEcho bool
	// sentConfig is the last version of the configuration that was sent, sentLoads the last change
	// number of this daemon's loads that was sent; 0 if none was.
	sentConfig int64
	sentLoads  uint64
	// sentCrashes, sentLimits and sentSignals are the last change numbers of crashes, rate limits
	// and signals that were sent. sentAllFindings is set once everything known at the start was
	// sent.
	sentCrashes     uint64
	sentLimits      uint64
	sentSignals     uint64
	sentAllFindings bool
}

func (t *linkWriter) run(ctx context.Context) error {
	// The interval may become shorter while the timer runs; the links are then told to send a
	// heartbeat at once.
	heartbeats := time.NewTimer(heartbeatInterval)
	defer heartbeats.Stop()
	peer := t.link.peer
	var err error
	for err == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-heartbeats.C:
			err = t.sendHeartbeat()
			heartbeats.Reset(t.n.heartbeatIntervalFor(*peer.sharedRole.Load()))
		case <-peer.heartbeatDue:
			err = t.sendHeartbeat()
			heartbeats.Reset(t.n.heartbeatIntervalFor(*peer.sharedRole.Load()))
		case <-peer.updatesReady:
			if err = t.sendLoads(); err == nil {
				err = t.sendFindings()
			}
		case f := <-peer.frames:
			if err = t.sendFirstEcho(); err == nil {
				err = t.sendFrame(f.forPeer(peer))
			}
		}
	}
	return err
}

// sendHeartbeat sends a heartbeat, then changed loads, crashes, rate limits and signals, and the
// configuration if the peer asks for it.
func (t *linkWriter) sendHeartbeat() error {
	heartbeat := t.n.heartbeat(t.link.id, *t.link.peer.sharedRole.Load())
	if t.sentFullHeartbeat {
		heartbeat = heartbeat.abbreviated()
	}
	if err := t.send(frameHeartbeat, heartbeat); err != nil {
		return err
	}
	t.sentFullHeartbeat, t.sentEcho = true, t.sentEcho || heartbeat.Echo != echo.Echo{}
	if err := t.sendLoads(); err != nil {
		return err
	}
	if err := t.sendFindings(); err != nil {
		return err
	}
	return t.sendConfig()
}

// sendFirstEcho sends a heartbeat if none with an echo was sent on this connection but could be now. The
// peer can't date what is sent before it, and would ask for a snapshot again.
func (t *linkWriter) sendFirstEcho() error {
	if t.sentEcho || t.n.echoes.echo(t.link.id, time.Now()) == (echo.Echo{}) {
		return nil
	}
	return t.sendHeartbeat()
}

// sendLoads sends the loads that changed since the last call; the first call sends all. A peer that
// is not to have them any more gets an empty full update.
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

// sendConfig sends the configuration to a peer that asks for it.
func (t *linkWriter) sendConfig() error {
	v := t.n.View()
	if !v.configRequesters[t.link.id] || v.version() <= t.sentConfig {
		return nil
	}
	c := t.n.configCopy()
	t.sentConfig = c.Version
	return t.send(frameConfig, c)
}

// configCopy returns a copy of the configuration for other daemons.
func (n *Node) configCopy() ConfigCopy {
	// The age must not be read before the clock.
	clock, v := n.echoes.own.Read(time.Now()), n.View()
	return ConfigCopy{Version: v.version(), Clock: clock, Age: n.clock.Since(v.ConfirmedAt), Data: v.config}
}

// sendsLoadsTo reports whether this daemon sends its own loads to a peer.
func (n *Node) sendsLoadsTo(l membership.Link) bool { return l.UsesLoads || n.View().mesh() }

// heartbeatIntervalFor returns the interval of heartbeats to a peer.
func (n *Node) heartbeatIntervalFor(l membership.Link) time.Duration {
	if l.Frequent || n.planning.Load() {
		return heartbeatInterval
	}
	return relayHeartbeatInterval
}

// framedConn is a connection to another daemon that counts the sent bytes by frame kind.
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

// send encodes a value and sends it as one frame.
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
