package api

import (
	"context"
	"net/netip"
	"sync"
)

// inFlightCounter counts the requests in flight, for choosing upstreams and for draining at
// shutdown.
type inFlightCounter struct {
	mu          sync.Mutex
	stopping    bool
	total       int
	triesByAddr map[netip.AddrPort]int
	// drained is closed when draining has begun and no request is in flight.
	drained chan struct{}
}

func newInFlightCounter() *inFlightCounter {
	return &inFlightCounter{triesByAddr: map[netip.AddrPort]int{}, drained: make(chan struct{})}
}

// begin counts a new request. It returns ErrStopping once draining has begun.
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

// startTry and endTry count the attempts in flight at one upstream.
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

// drain rejects new requests and waits until none is in flight or the context ends.
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
