package router

import (
	"net/netip"
	"sync"
	"time"
)

// suspectTTL is how long an upstream is avoided after a failure. Daemons probe instances
// twice per second, so that a faulty upstream's gate is closed by then.
const suspectTTL = time.Second

// Suspects is the set of upstreams that have recently rejected requests or broken off a
// response. They are avoided while another upstream can run a request: a group that fails
// immediately has the lowest load and would attract all requests until the retry budget is
// exhausted. The zero value is an empty set.
type Suspects struct {
	mu     sync.Mutex
	expiry map[netip.AddrPort]time.Time
}

// Add adds an upstream to the set.
func (s *Suspects) Add(addr netip.AddrPort, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expiry == nil {
		s.expiry = map[netip.AddrPort]time.Time{}
	}
	s.expiry[addr] = now.Add(suspectTTL)
}

// Clear removes an upstream that has responded.
func (s *Suspects) Clear(addr netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.expiry, addr)
}

// List returns the upstreams to avoid now.
func (s *Suspects) List(now time.Time) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []netip.AddrPort
	for addr, expiry := range s.expiry {
		if now.Before(expiry) {
			out = append(out, addr)
		} else {
			delete(s.expiry, addr)
		}
	}
	return out
}
