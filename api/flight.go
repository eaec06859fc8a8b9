package api

import (
	"context"
	"net/netip"
	"sync"
)

// flights counts the requests in flight, for the choice of upstreams and for
// a planned stop.
type flights struct {
	mu       sync.Mutex
	stopping bool
	total    int
	byAddr   map[netip.AddrPort]int
	// quiet is closed when a stop was asked for and nothing is in flight.
	quiet chan struct{}
}

func newFlights() *flights {
	return &flights{byAddr: map[netip.AddrPort]int{}, quiet: make(chan struct{})}
}

// begin counts a request in; it returns ErrStopping once a stop was asked
// for.
func (f *flights) begin() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping {
		return ErrStopping
	}
	f.total++
	return nil
}

func (f *flights) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.total--
	f.closeIfQuiet()
}

func (f *flights) closeIfQuiet() {
	if f.stopping && f.total == 0 {
		close(f.quiet)
	}
}

// take and give count the tries at one upstream.
func (f *flights) take(addr netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byAddr[addr]++
}

func (f *flights) give(addr netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byAddr[addr]--; f.byAddr[addr] == 0 {
		delete(f.byAddr, addr)
	}
}

func (f *flights) at(addr netip.AddrPort) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byAddr[addr]
}

func (f *flights) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.total
}

// drain refuses new requests and waits until none is in flight or the
// context ends.
func (f *flights) drain(ctx context.Context) {
	f.mu.Lock()
	if !f.stopping {
		f.stopping = true
		f.closeIfQuiet()
	}
	f.mu.Unlock()
	select {
	case <-f.quiet:
	case <-ctx.Done():
	}
}
