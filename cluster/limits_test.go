package cluster

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/ratelimit"
)

// TestDelayedLimitReplacesNewerOne guards against an observation that waited while this daemon was
// stopped, and then counts as later than a newer one that waited as well: the daemon would grant
// permits at the earlier, higher rate.
func TestDelayedLimitReplacesNewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newConfirmationScript(c, t)
		s.run([]string{"daemons", "a", "b", "c"})
		for _, step := range []string{"send c a", "send c b", "receive a", "receive b", "send a c", "send b c", "receive c"} {
			s.run(strings.Fields(step))
		}
		observe := func(name models.DaemonID, rate float64) {
			l := s.owners[name].n.limits
			sentAt := time.Now()
			time.Sleep(10 * time.Millisecond)
			l.Observe(ratelimit.Observation{Instance: "i1", Rate: rate, SentAt: sentAt, ReceivedAt: time.Now()})
			clock := s.owners[name].n.echoes.own.Read(time.Now())
			updates, _ := l.changesSince(0, "c", ownFindings)
			s.queue(s.owners[name], "c", frameUpdate, Update{Clock: clock, Limits: updates})
		}
		observe("a", 10)
		time.Sleep(time.Second)
		observe("b", 2)
		time.Sleep(2 * time.Second)
		// The connections are read in any order.
		waiting := s.sent["c"]
		for _, f := range []sentFrame{waiting[1], waiting[0]} {
			_, err := (&peerServer{n: s.owners["c"].n}).handleFrame(t.Context(), f.kind, f.body, Heartbeat{From: f.from})
			c.Assert(err, qt.IsNil)
			time.Sleep(50 * time.Millisecond)
		}
		c.Assert(s.owners["c"].n.limits.limits.Announced("i1"), qt.Equals, 2.0)
	})
}

// TestLimitPropagation checks that a rate limit that an instance names to one daemon reaches all
// daemons long before it must be enforced, including those that start later. Changes of the limit,
// and its end, may be observed at any daemon.
func TestLimitPropagation(t *testing.T) {
	for _, test := range []struct {
		name    string
		daemons int
		zones   int
	}{{"mesh", 3, 1}, {"relays", 24, 3}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			peers := startPeers(t, test.daemons, test.zones)
			observe := func(p *testPeer, rate float64) {
				p.limits.Observe(ratelimit.Observation{Instance: "i1", Rate: rate, SentAt: time.Now().Add(-time.Millisecond), ReceivedAt: time.Now()})
				time.Sleep(5 * time.Millisecond)
			}
			hasLimit := func(rate float64) func(*testPeer) bool {
				return func(p *testPeer) bool {
					p.limits.mu.Lock()
					defer p.limits.mu.Unlock()
					return p.limits.limits.Announced("i1") == rate
				}
			}
			observe(peers[test.daemons-1], 2)
			took := waitAll(c, peers, propagationTimeout, "aware of a limit", hasLimit(2))
			t.Logf("all %d know of a limit after %v", test.daemons, took.Round(time.Millisecond))
			observe(peers[test.daemons/2], 1.5)
			waitAll(c, peers, propagationTimeout, "aware of a lower one", hasLimit(1.5))
			late := startNth(t, test.daemons, test.zones, peers)
			waitAll(c, []*testPeer{late}, discoveryTimeout, "aware of it after its start", hasLimit(1.5))
			observe(peers[1], models.NoRateLimit)
			waitAll(c, append(peers, late), propagationTimeout, "aware of its end", hasLimit(models.NoRateLimit))
		})
	}
}
