package standin

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/task"
)

// Faults are what a Link does to the connections and bytes that it forwards.
type Faults struct {
	// Cut closes every connection and refuses new ones.
	Cut bool `json:"cut"`
	// Freeze holds back all bytes until it is switched off.
	Freeze bool `json:"freeze"`
	// Delay is added before each chunk is forwarded.
	Delay Duration `json:"delay"`
	// DropUp discards the bytes sent to the target, DropDown the bytes that the target sends: a
	// lost response.
	DropUp   bool `json:"drop_up"`
	DropDown bool `json:"drop_down"`
	// CutAfter closes a connection once it has received this many bytes from the target; 0 is off.
	CutAfter int `json:"cut_after"`
	// Only limits the faults to connections from these addresses; empty means all.
	Only []netip.Addr `json:"only,omitempty"`
}

// appliesTo reports whether the faults apply to a client's connection.
func (f Faults) appliesTo(client net.Conn) bool {
	if len(f.Only) == 0 {
		return true
	}
	from := client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	return slices.Contains(f.Only, from)
}

// Link is a TCP proxy to one target that injects faults.
type Link struct {
	Target   netip.AddrPort
	Addr     netip.AddrPort
	listener net.Listener

	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{}
	conns         map[net.Conn]struct{}
}

// NewLink binds the listen address; port 0 picks a free port.
func NewLink(listen, target netip.AddrPort) (*Link, error) {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return nil, err
	}
	return &Link{
		Target: target, Addr: l.Addr().(*net.TCPAddr).AddrPort(), listener: l,
		faultsChanged: make(chan struct{}), conns: map[net.Conn]struct{}{},
	}, nil
}

// Set replaces the faults and applies Cut to open connections.
func (l *Link) Set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	close(l.faultsChanged)
	l.faultsChanged = make(chan struct{})
	if f.Cut {
		for c := range l.conns {
			if f.appliesTo(c) {
				c.Close()
			}
		}
	}
}

// Handler sets the faults over HTTP.
func (l *Link) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if readJSON(w, r, &f) {
			l.Set(f)
			w.WriteHeader(http.StatusNoContent)
		}
	})
}

// faultsFor returns the faults that apply to a client's connection, and a channel that is closed
// when the faults change.
func (l *Link) faultsFor(client net.Conn) (Faults, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.faults.appliesTo(client) {
		return Faults{}, l.faultsChanged
	}
	return l.faults, l.faultsChanged
}

// Run accepts and forwards connections until the context ends.
func (l *Link) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { l.listener.Close() })
	defer stop()
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return err
		}
		go l.forward(ctx, conn)
	}
}

func (l *Link) track(conn net.Conn) (allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Cut && l.faults.appliesTo(conn) {
		conn.Close()
		return false
	}
	l.conns[conn] = struct{}{}
	return true
}

func (l *Link) untrack(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
	conn.Close()
}

func (l *Link) forward(ctx context.Context, client net.Conn) {
	if !l.track(client) {
		return
	}
	defer l.untrack(client)
	target, err := net.DialTimeout("tcp", l.Target.String(), time.Second)
	if err != nil {
		return
	}
	defer target.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { client.Close(); target.Close() })
	defer stop()
	dropped := make(chan struct{}, 1)
	closer := task.Start(ctx, "lost", func(ctx context.Context) error { return l.closeAfterDrop(ctx, client, dropped, cancel) })
	up := task.Start(ctx, "up", func(ctx context.Context) error {
		return l.pipe(ctx, client, target, client, func(f Faults) bool { return f.DropUp }, false, dropped)
	})
	down := task.Start(ctx, "down", func(ctx context.Context) error {
		defer cancel()
		return l.pipe(ctx, client, client, target, func(f Faults) bool { return f.DropDown }, true, dropped)
	})
	// Both pipes report a closed connection; the error holds nothing more.
	_ = task.Wait(up, down, closer)
}

// closeAfterDrop closes a connection whose bytes were dropped once the faults change: a real TCP
// connection never continues without bytes that it lost.
func (l *Link) closeAfterDrop(ctx context.Context, client net.Conn, dropped <-chan struct{}, closeConn func()) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-dropped:
	}
	_, changed := l.faultsFor(client)
	select {
	case <-ctx.Done():
	case <-changed:
		closeConn()
	}
	return ctx.Err()
}

var errCutAfter = errors.New("cut after so many bytes")

const pipeBufferBytes = 32 << 10

func (l *Link) pipe(ctx context.Context, client, to, from net.Conn, drop func(Faults) bool, countBytes bool, dropped chan<- struct{}) error {
	buf := make([]byte, pipeBufferBytes)
	forwarded := 0
	for {
		n, err := from.Read(buf)
		if n > 0 {
			f, werr := l.applyDelay(ctx, client)
			if werr != nil {
				return werr
			}
			chunk := buf[:n]
			limited := countBytes && f.CutAfter > 0
			if limited {
				chunk = chunk[:min(n, max(0, f.CutAfter-forwarded))]
			}
			forwarded += n
			if drop(f) {
				select {
				case dropped <- struct{}{}:
				default:
				}
			} else if _, werr := to.Write(chunk); werr != nil {
				return werr
			}
			if limited && forwarded >= f.CutAfter {
				return errCutAfter
			}
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := to.(*net.TCPConn); ok {
				return tcp.CloseWrite()
			}
		}
		if err != nil {
			return err
		}
	}
}

// applyDelay waits while the link is frozen, then for the configured delay, and returns the current
// faults.
func (l *Link) applyDelay(ctx context.Context, client net.Conn) (Faults, error) {
	for {
		f, changed := l.faultsFor(client)
		if !f.Freeze {
			return f, sleep(ctx, time.Duration(f.Delay))
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return f, ctx.Err()
		}
	}
}
