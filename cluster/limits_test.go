package cluster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/ratelimit"
)

// An instance names a limit to one daemon only. All know it long before a limit must be kept,
// also those that start later; and all know when it changes and ends, at whatever daemon.
func TestLimitsAreTold(t *testing.T) {
	for _, test := range []struct {
		name    string
		daemons int
		zones   int
	}{{"mesh", 3, 1}, {"relays", 24, 3}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			peers := startPeers(t, test.daemons, test.zones)
			hear := func(p *peerNode, rate float64) {
				p.limits.Heard(ratelimit.Observation{Instance: "i1", Rate: rate, SentAt: time.Now().Add(-time.Millisecond), ReceivedAt: time.Now()})
				time.Sleep(5 * time.Millisecond)
			}
			believes := func(rate float64) func(*peerNode) bool {
				return func(p *peerNode) bool {
					p.limits.mu.Lock()
					defer p.limits.mu.Unlock()
					return p.limits.limits.Announced("i1") == rate
				}
			}
			hear(peers[test.daemons-1], 2)
			took := waitAll(c, peers, toldWithin, "told of a limit", believes(2))
			t.Logf("all %d know of a limit after %v", test.daemons, took.Round(time.Millisecond))
			hear(peers[test.daemons/2], 1.5)
			waitAll(c, peers, toldWithin, "told of a lower one", believes(1.5))
			late := startNth(t, test.daemons, test.zones, peers)
			waitAll(c, []*peerNode{late}, met, "told at its start", believes(1.5))
			hear(peers[1], models.NoRateLimit)
			waitAll(c, append(peers, late), toldWithin, "told of its end", believes(models.NoRateLimit))
		})
	}
}
