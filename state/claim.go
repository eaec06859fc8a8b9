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
	// number tells the claims of a key apart. It is not encoded.
	number uint64
}

// claimSlot is the place of a claim in the order in which claims were applied. Once the claim is
// released, the slot is empty, also if its key is claimed again.
type claimSlot struct {
	key    string
	number uint64
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
			s.addClaim(c)
		}
		event.Holders = append(event.Holders, s.Claims[c.Key].Request)
	}
	s.expireClaims()
	return []Event{event}
}

// addClaim adds a claim of a key that is not claimed.
func (s *State) addClaim(c Claim) {
	s.lastClaim++
	c.number = s.lastClaim
	s.Claims[c.Key] = c
	s.claimSlots = append(s.claimSlots, claimSlot{key: c.Key, number: c.number})
}

// claimIn returns the claim in a slot, and false if the slot is empty.
func (s *State) claimIn(slot claimSlot) (Claim, bool) {
	c, claimed := s.Claims[slot.key]
	return c, claimed && c.number == slot.number
}

// orderedClaims lists the claims in the order in which they expire.
func (s *State) orderedClaims() []Claim {
	out := make([]Claim, 0, len(s.Claims))
	for _, slot := range s.claimSlots {
		if c, claimed := s.claimIn(slot); claimed {
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
	for len(s.claimSlots) > 0 {
		oldest, claimed := s.claimIn(s.claimSlots[0])
		if claimed && s.latestClaimTime.Sub(oldest.At) <= ClaimRetention {
			return
		}
		if claimed {
			delete(s.Claims, oldest.Key)
		}
		s.claimSlots = s.claimSlots[1:]
	}
}

func (s *State) applyReleaseKeys(body ReleaseKeys) {
	for _, c := range body.Claims {
		if s.Claims[c.Key].Request == c.Request {
			delete(s.Claims, c.Key)
		}
	}
}
