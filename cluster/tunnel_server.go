package cluster

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lupinkeel/lupinkeel/lib/frame"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/lib/task"
)

// serveTunnel connects to an instance for another daemon, and passes on bytes until one side ends.
// It takes over the connection.
func (s *peerServer) serveTunnel(ctx context.Context, conn net.Conn, r *bufio.Reader, replies framedConn, body []byte) error {
	var req tunnelRequest
	if err := frame.Decode(body, &req); err != nil {
		return err
	}
	addr, err := s.tunnelTarget(req)
	if err != nil {
		return replies.send(frameTunnelReply, tunnelReply{Error: err.Error()})
	}
	if err := replies.send(frameTunnelReply, tunnelReply{Accepted: true}); err != nil {
		return err
	}
	dialing, cancel := context.WithTimeout(ctx, tunnelDialTimeout)
	defer cancel()
	instance, err := s.n.paths.direct(dialing, addr)
	if err != nil {
		return errors.Join(err, replies.send(frameTunnelReply, tunnelReply{Refused: errors.Is(err, syscall.ECONNREFUSED), Error: err.Error()}))
	}
	defer instance.Close()
	if err := replies.send(frameTunnelReply, tunnelReply{Connected: true}); err != nil {
		return err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return err
	}
	if tcp, ok := conn.(syscall.Conn); ok {
		// The other daemon may lose power.
		if err := h1.SetUserTimeout(tcp); err != nil {
			return err
		}
	}
	stop := context.AfterFunc(ctx, func() { instance.Close() })
	defer stop()
	downstream := task.Start(ctx, "tunnel", func(context.Context) error { return sendChunks(conn, instance) })
	// The other daemon closes its connection when it does not need the instance any more.
	_, err = io.Copy(instance, r)
	return errors.Join(err, instance.Close(), conn.Close(), task.Wait(downstream))
}

// tunnelTarget returns the instance's address that a tunnel is to go to.
func (s *peerServer) tunnelTarget(req tunnelRequest) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(req.Addr)
	switch {
	case err != nil:
		return addr, err
	case s.n.resigned.Load():
		return addr, errors.New("the daemon is stopping")
	case s.n.paths.partitioned():
		return addr, errors.New("the daemon is partitioned itself")
	case s.n.overloaded.Load():
		return addr, errors.New("the daemon is overloaded")
	}
	for _, i := range s.n.View().Instances {
		if i.Addr == addr {
			return addr, nil
		}
	}
	return addr, fmt.Errorf("no instance with address %v is known", addr)
}

// sendChunks sends what an instance sends, in chunks, and its end. If the instance resets its
// connection, the other one is reset.
func sendChunks(to net.Conn, instance net.Conn) error {
	buf := make([]byte, chunkHeaderLen+tunnelBufferLen)
	for {
		n, err := instance.Read(buf[chunkHeaderLen:])
		if n > 0 {
			binary.BigEndian.PutUint32(buf, uint32(n))
			if _, writeErr := to.Write(buf[:chunkHeaderLen+n]); writeErr != nil {
				return errors.Join(writeErr, instance.Close())
			}
		}
		if errors.Is(err, io.EOF) && wasReset(instance) {
			err = syscall.ECONNRESET
		}
		switch {
		case errors.Is(err, io.EOF):
			_, err = to.Write(make([]byte, chunkHeaderLen))
			return err
		case err != nil:
			if conn, ok := to.(*net.TCPConn); ok {
				err = errors.Join(err, conn.SetLinger(0))
			}
			return errors.Join(err, to.Close())
		}
	}
}

// wasReset reports whether a connection on which the end was read was reset: a write may have taken the
// error, which the kernel reports only once. An unknown state counts as a regular end.
func wasReset(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return err == nil && reset
}
