package state

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Claim reserves an idempotency key for one request.
type Claim struct {
	// Key is a hash of the workspace and the caller's idempotency key.
	Key     string           `msgpack:"k"`
	Request models.RequestID `msgpack:"r"`
	// At is when the claim was proposed, by the author's clock.
	At time.Time `msgpack:"t"`
}

// ClaimKeys claims a batch of keys. The first claim of each key wins; later ones are
// ignored. The record itself is never rejected.
type ClaimKeys struct {
	Claims []Claim `msgpack:"c"`
}

// ReleaseKeys releases the claims of requests that are known not to have run.
type ReleaseKeys struct {
	Claims []Claim `msgpack:"c"`
}

func (ClaimKeys) body()   {}
func (ReleaseKeys) body() {}

// ClaimRetention is how long a claim is kept. It is measured by the times in the claims
// themselves, so that all daemons expire a claim at the same record.
const ClaimRetention = 15 * time.Minute

func (s *State) applyClaimKeys(body ClaimKeys) []Event {
	event := KeysClaimed{}
	for _, c := range body.Claims {
		c.At = c.At.UTC()
		if c.At.After(s.latestClaimTime) {
			s.latestClaimTime = c.At
		}
		if _, claimed := s.Claims[c.Key]; !claimed {
			s.Claims[c.Key] = c
			s.claimKeys = append(s.claimKeys, c.Key)
		}
		event.Holders = append(event.Holders, s.Claims[c.Key].Request)
	}
	s.expireClaims()
	return []Event{event}
}

// orderedClaims lists the claims in the order in which they expire.
func (s *State) orderedClaims() []Claim {
	out := make([]Claim, 0, len(s.Claims))
	listed := make(map[string]bool, len(s.Claims))
	for _, key := range s.claimKeys {
		if c, claimed := s.Claims[key]; claimed && !listed[key] {
			listed[key] = true
			out = append(out, c)
		}
	}
	return out
}

// KeysClaimed lists the request that holds each key of a ClaimKeys, in the order of its
// claims.
type KeysClaimed struct{ Holders []models.RequestID }

func (KeysClaimed) event() {}

// expireClaims removes expired claims. It goes by the order in which the claims were applied,
// which is that of their times except for clock skew between the authors.
func (s *State) expireClaims() {
	for len(s.claimKeys) > 0 {
		oldest, claimed := s.Claims[s.claimKeys[0]]
		if claimed && s.latestClaimTime.Sub(oldest.At) <= ClaimRetention {
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
