// Package standin holds small stand-ins for what lupinkeel runs between:
// the platform with its log, instance list and weight store, model engines,
// plain services, and a TCP proxy that injects faults. They exist for tests,
// measurements and the demo, and promise nothing beyond that.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const shutdownGrace = time.Second

// Server is a stand-in that listens on an address of its own.
type Server struct {
	Addr     netip.AddrPort
	listener net.Listener
	handler  http.Handler
}

// Listen binds the address; port 0 picks a free one.
func Listen(addr netip.AddrPort, handler http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	bound := l.Addr().(*net.TCPAddr).AddrPort()
	return &Server{Addr: netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port()), listener: l, handler: handler}, nil
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second}
	stopped := context.AfterFunc(ctx, func() {
		grace, cancel := context.WithTimeout(context.Background(), shutdownGrace)
		defer cancel()
		if server.Shutdown(grace) != nil {
			server.Close()
		}
	})
	defer stopped()
	if err := server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return ctx.Err()
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller has gone if this fails; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]string{"error": message})
}

const maxBody = 16 << 20

func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(data, out)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// Duration is a time.Duration that reads and writes "250ms" in JSON.
type Duration time.Duration

// UnmarshalText reads what time.ParseDuration reads.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText writes the duration as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
