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

// readTimeout is how long a connection may bring nothing: more than two of
// the rarest heartbeats.
const readTimeout = 3 * time.Second

// peerServer takes in what other daemons tell.
type peerServer struct {
	n        *Node
	listener net.Listener
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
	r, answers := bufio.NewReader(conn), s.n.framed(conn, "asker")
	for {
		if err := conn.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
			return err
		}
		kind, body, err := frame.Read(r)
		switch {
		case err != nil:
		case kind == frameAsk:
			err = s.n.permits.answer(answers, body)
		default:
			from, err = s.take(ctx, kind, body, from)
		}
		if err == nil {
			continue
		}
		if from.From != "" {
			s.n.tell(ctx, peerLost{id: from.From, err: err})
		}
		return err
	}
}

// take hands one frame to the owner and returns the last heartbeat of the daemon
// that it came from.
func (s *peerServer) take(ctx context.Context, kind frame.Kind, body []byte, from Heartbeat) (Heartbeat, error) {
	switch kind {
	case frameHeartbeat:
		var b Heartbeat
		if err := frame.Decode(body, &b); err != nil {
			return from, err
		}
		b = b.completed(from)
		s.n.tell(ctx, heartbeatSeen{beat: b, at: time.Now()})
		return b, nil
	case frameNews, frameLoads:
		var news News
		if err := frame.Decode(body, &news); err != nil {
			return from, err
		}
		if news.From == "" {
			news.From, news.Incarnation = from.From, from.Incarnation
		}
		s.takeNews(ctx, news, from)
		return from, nil
	case frameConfig:
		var c ConfigCopy
		if err := frame.Decode(body, &c); err != nil {
			return from, err
		}
		s.n.tell(ctx, peerConfig{config: c})
		return from, nil
	default:
		return from, fmt.Errorf("%w: kind %d", frame.ErrFormat, kind)
	}
}

// takeNews hands news of a daemon on: loads to those who pick groups, the rest to
// the owner and to the daemons that rely on this one.
func (s *peerServer) takeNews(ctx context.Context, news News, from Heartbeat) {
	s.n.peerLoads.take(news, from.Zone, s.n.traffic.Loads)
	if (news.Term > 0 && !news.Whole) || len(news.Stalled) > 0 {
		s.n.links.passOn(from.From, from.Zone, news)
	}
	s.n.takeCrashes(news.Crashes, from.From)
	s.n.takeLimits(news.Limits, from.From)
	s.n.takeSignals(news.Signals, from.From)
	if news.Term > 0 {
		s.n.tell(ctx, newsSeen{
			term: news.Term, feed: news.Feed, instances: news.Instances, entries: news.Entries,
			whole: news.Whole, ended: news.Ended, at: time.Now(),
		})
	}
	for _, head := range news.Stalled {
		s.n.tell(ctx, stalled{group: head.Group, head: head.Head, from: news.From})
	}
}
