package api

import (
	"context"
	"net/netip"
	"sync"
)

// flights counts the requests in flight, for the choice of upstreams and for
// a planned stop.
type inFlightCounter struct {
	mu          sync.Mutex
	stopping    bool
	total       int
	triesByAddr map[netip.AddrPort]int
	// quiet is closed when a stop was asked for and nothing is in flight.
	drained chan struct{}
}

func newInFlightCounter() *inFlightCounter {
	return &inFlightCounter{triesByAddr: map[netip.AddrPort]int{}, drained: make(chan struct{})}
}

// begin counts a request in; it returns ErrStopping once a stop was asked
// for.
func (f *inFlightCounter) begin() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping {
		return ErrStopping
	}
	f.total++
	return nil
}

func (f *inFlightCounter) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.total--
	f.closeIfDrained()
}

func (f *inFlightCounter) closeIfDrained() {
	if f.stopping && f.total == 0 {
		close(f.drained)
	}
}

// take and give count the tries at one upstream.
func (f *inFlightCounter) startTry(addr netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.triesByAddr[addr]++
}

func (f *inFlightCounter) endTry(addr netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.triesByAddr[addr]--; f.triesByAddr[addr] == 0 {
		delete(f.triesByAddr, addr)
	}
}

func (f *inFlightCounter) triesAt(addr netip.AddrPort) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.triesByAddr[addr]
}

func (f *inFlightCounter) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.total
}

// drain refuses new requests and waits until none is in flight or the
// context ends.
func (f *inFlightCounter) drain(ctx context.Context) {
	f.mu.Lock()
	if !f.stopping {
		f.stopping = true
		f.closeIfDrained()
	}
	f.mu.Unlock()
	select {
	case <-f.drained:
	case <-ctx.Done():
	}
}
