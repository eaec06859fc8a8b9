package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/lib/dial"
	"github.com/lupinkeel/lupinkeel/lib/frame"
)

// Handler handles heartbeats. It is called concurrently.
type Handler interface {
	HandleHeartbeat(Heartbeat) Response
}

// idleTimeout is how long a connection without heartbeats stays open.
const idleTimeout = 10 * time.Second

// Server answers the heartbeats of other daemons.
type Server struct {
	Handler Handler
	Log     zerolog.Logger
	// CountBytes, if set, counts the bytes sent and received.
	CountBytes dial.CountFunc

	listener net.Listener
	frames   frame.Receiver
}

// Listen binds the address and returns the bound address.
func (s *Server) Listen(addr netip.AddrPort) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen for peers on %s: %w", addr, err)
	}
	s.listener = l
	bound := l.Addr().(*net.TCPAddr).AddrPort()
	return netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port()), nil
}

// Run answers heartbeats until the context ends.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("accept a peer: %w", err)
		}
		go s.serve(ctx, conn)
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	counted := dial.WithCount(conn, s.CountBytes)
	for {
		if err := s.serveHeartbeat(counted); err != nil {
			if !errors.Is(err, io.EOF) && ctx.Err() == nil {
				s.Log.Debug().Err(err).Stringer("remote", conn.RemoteAddr()).Msg("peer-connection-ended")
			}
			return
		}
	}
}

func (s *Server) serveHeartbeat(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(idleTimeout)); err != nil {
		return err
	}
	kind, body, err := s.frames.Read(conn)
	if err != nil {
		return err
	}
	if kind != kindHeartbeat {
		return fmt.Errorf("%w: kind %d instead of a heartbeat", frame.ErrFormat, kind)
	}
	var heartbeat Heartbeat
	if err := frame.Decode(body, &heartbeat); err != nil {
		return err
	}
	_, err = frame.Write(conn, kindResponse, s.Handler.HandleHeartbeat(heartbeat))
	return err
}
