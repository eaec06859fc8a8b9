// Package standin holds small stand-ins for the systems that lupinkeel connects: the platform with
// its log, instance list and weight store, model engines, plain services, and a TCP proxy that
// injects faults. They exist for tests, measurements and the demo only.
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

// Server is an HTTP server with its own listener.
type Server struct {
	Addr     netip.AddrPort
	listener net.Listener
	handler  http.Handler
}

// Listen binds the address; port 0 picks a free port.
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
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			server.Close()
		}
	})
	defer stop()
	if err := server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return ctx.Err()
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]string{"error": message})
}

const maxBodyBytes = 16 << 20

func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(data, out)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// Duration is a time.Duration that is encoded in JSON as text such as "250ms".
type Duration time.Duration

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText returns the format of time.Duration.String.
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
