package router

import (
	"net/netip"
	"sync"
	"time"
)

// suspectFor is how long an upstream that refused to serve is passed over.
// Daemons ask instances twice a second, so that by then the gate is closed if
// the upstream is at fault.
const suspectTTL = time.Second

// Suspects are the upstreams that lately refused to serve or broke off. They
// are passed over while anything else can run a request: a group that fails
// at once has the least work and would draw all requests to itself, until no
// retry is left. The zero value is ready to use.
type Suspects struct {
	mu     sync.Mutex
	expiry map[netip.AddrPort]time.Time
}

// Note puts an upstream among the suspects.
func (s *Suspects) Note(addr netip.AddrPort, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expiry == nil {
		s.expiry = map[netip.AddrPort]time.Time{}
	}
	s.expiry[addr] = now.Add(suspectTTL)
}

// Clear takes out an upstream that answered.
func (s *Suspects) Clear(addr netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.expiry, addr)
}

// List returns the upstreams to pass over now.
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
