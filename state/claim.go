package state

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Claim says that one request, and no other, may run under a key.
type Claim struct {
	// Key is a hash of the workspace and the caller's key.
	Key     string           `msgpack:"k"`
	Request models.RequestID `msgpack:"r"`
	// At is when the claim was proposed, by its author's clock.
	At time.Time `msgpack:"t"`
}

// ClaimKeys claims keys. Of each key the first claim holds; a claim that
// comes later is passed over. Claims are batched: the record itself is never
// refused.
type ClaimKeys struct {
	Claims []Claim `msgpack:"c"`
}

// ReleaseKeys gives up claims of requests that are known not to have run.
type ReleaseKeys struct {
	Claims []Claim `msgpack:"c"`
}

func (ClaimKeys) body()   {}
func (ReleaseKeys) body() {}

// KeptClaims is for how long a claim is remembered, counted by the times in
// the claims themselves, so that all daemons forget it at the same record.
const ClaimRetention = 15 * time.Minute

func (s *State) applyClaimKeys(body ClaimKeys) []Event {
	event := KeysClaimed{}
	for _, c := range body.Claims {
		c.At = c.At.UTC()
		if c.At.After(s.latestClaimTime) {
			s.latestClaimTime = c.At
		}
		if _, held := s.Claims[c.Key]; !held {
			s.Claims[c.Key] = c
			s.claimKeys = append(s.claimKeys, c.Key)
		}
		event.Holders = append(event.Holders, s.Claims[c.Key].Request)
	}
	s.expireClaims()
	return []Event{event}
}

// heldClaims lists the claims in the order in which they will be forgotten.
func (s *State) orderedClaims() []Claim {
	out := make([]Claim, 0, len(s.Claims))
	listed := make(map[string]bool, len(s.Claims))
	for _, key := range s.claimKeys {
		if c, held := s.Claims[key]; held && !listed[key] {
			listed[key] = true
			out = append(out, c)
		}
	}
	return out
}

// KeysClaimed tells which request holds each key of a ClaimKeys, in the
// order of its claims.
type KeysClaimed struct{ Holders []models.RequestID }

func (KeysClaimed) event() {}

// forgetClaims drops the oldest claims. They stand in the order in which they
// were folded, which is that of their times but for the clocks' differences.
func (s *State) expireClaims() {
	for len(s.claimKeys) > 0 {
		oldest, held := s.Claims[s.claimKeys[0]]
		if held && s.latestClaimTime.Sub(oldest.At) <= ClaimRetention {
			return
		}
		delete(s.Claims, s.claimKeys[0])
		s.claimKeys = s.claimKeys[1:]
	}
}

func (s *State) applyReleaseKeys(body ReleaseKeys) {
	for _, c := range body.Claims {
		if s.Claims[c.Key].Request == c.Request {
			delete(s.Claims, c.Key)
		}
	}
}
