package cluster

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/frame"
	"github.com/lupinkeel/lupinkeel/lib/task"
)

// readTimeout is how long a connection may be idle: more than two of the longest heartbeat
// intervals.
const readTimeout = 3 * time.Second

// peerServer receives the messages of other daemons.
type peerServer struct {
	n        *Node
	listener net.Listener
	frames   frame.Receiver
}

func listenPeers(n *Node) (*peerServer, error) {
	l, err := net.Listen("tcp4", n.cfg.Peer.String())
	if err != nil {
		return nil, fmt.Errorf("listen for daemons: %w", err)
	}
	return &peerServer{n: n, listener: l}, nil
}

func (s *peerServer) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("accept a daemon: %w", err)
		}
		task.Start(ctx, "peer", func(ctx context.Context) error { return s.serve(ctx, conn) })
	}
}

func (s *peerServer) serve(ctx context.Context, conn net.Conn) error {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	// from is the last heartbeat of the daemon at the other end.
	var from Heartbeat
	r, replies := bufio.NewReader(conn), s.n.framed(conn, "asker")
	for {
		if err := conn.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
			return err
		}
		kind, body, err := s.frames.Read(r)
		switch {
		case err != nil:
		case kind == frameTunnel:
			return s.serveTunnel(ctx, conn, r, replies, body)
		case kind == framePermitRequest:
			err = s.n.permits.handleRequest(replies, body)
		default:
			from, err = s.handleFrame(ctx, kind, body, from)
		}
		if err == nil {
			continue
		}
		if from.From != "" {
			s.n.post(ctx, peerDisconnected{id: from.From, err: err})
		}
		return err
	}
}

// handleFrame handles one frame and returns the last heartbeat of the connection's daemon.
func (s *peerServer) handleFrame(ctx context.Context, kind frame.Kind, body []byte, from Heartbeat) (Heartbeat, error) {
	switch kind {
	case frameHeartbeat:
		var b Heartbeat
		if err := frame.Decode(body, &b); err != nil {
			return from, err
		}
		b = b.completed(from)
		now := time.Now()
		s.n.post(ctx, heartbeatReceived{heartbeat: b, receivedAt: now, writtenAfter: s.n.echoes.receive(b, now)})
		return b, nil
	case frameUpdate, frameLoads:
		var update Update
		if err := frame.Decode(body, &update); err != nil {
			return from, err
		}
		if update.From == "" {
			update.From, update.Incarnation = from.From, from.Incarnation
		}
		s.handleUpdate(ctx, update, from)
		return from, nil
	case frameConfig:
		var c ConfigCopy
		if err := frame.Decode(body, &c); err != nil {
			return from, err
		}
		s.n.post(ctx, configReceived{config: c, writtenAfter: s.n.echoes.writtenAfter(from.From, c.Clock, time.Now())})
		return from, nil
	default:
		return from, fmt.Errorf("%w: kind %d", frame.ErrFormat, kind)
	}
}

// handleUpdate dispatches an update: loads to peerLoads, crashes, limits and signals to their
// holders, the rest to the owner. Updates of instances and stalls are also forwarded.
func (s *peerServer) handleUpdate(ctx context.Context, update Update, from Heartbeat) {
	s.n.peerLoads.apply(update, from.Zone, s.n.traffic.Loads)
	now := time.Now()
	writtenAfter := dateOf(s.n.echoes.writtenAfter(from.From, update.Clock, now), update.Delay)
	if (update.Term > 0 && !update.Snapshot) || len(update.Stalled) > 0 {
		s.n.links.forward(from.From, from.Zone, update, writtenAfter)
	}
	s.n.handleCrashes(update.Crashes, from.From)
	s.n.handleLimits(update.Limits, from.From, writtenAfter, now)
	s.n.handleSignals(update.Signals, from.From)
	if update.Term > 0 {
		s.n.post(ctx, updateReceived{
			term: update.Term, seq: update.Seq, instances: update.Instances, entries: update.Entries,
			snapshot: update.Snapshot, termEnded: update.TermEnded, receivedAt: now, writtenAfter: writtenAfter,
		})
	}
	for _, head := range update.Stalled {
		s.n.post(ctx, stallDetected{group: head.Group, head: head.Head, from: update.From})
	}
}
