package cluster

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/ratelimit"
)

const (
	// limitWindow is the time over which an instance's requests are compared with its rate limit.
	// Allowed are one and a half times the limit plus limitSlack.
	limitWindow = 4 * time.Second
	limitSlack  = 5
	// minUsedShare is the share of a limit that must be used while there is demand for more.
	minUsedShare = 0.8
)

// permitClients are daemons that keep requesting permits for one instance.
type permitClients struct {
	zone models.Zone
	rate float64

	mu       sync.Mutex
	grants   []time.Time
	requests int
}

// requestUntilDone requests permits until the context ends. Like a gateway, it waits as long as a
// reply says.
func (a *permitClients) requestUntilDone(ctx context.Context, p *testPeer, pause time.Duration) error {
	ask := ratelimit.PermitRequest{Candidates: []ratelimit.Candidate{{Instance: "i1", Rate: a.rate}}}
	for ctx.Err() == nil {
		grant, err := p.RequestPermit(ctx, a.zone, ask)
		wait := pause
		a.mu.Lock()
		a.requests++
		switch {
		case err != nil:
			wait = granterBackoff
		case grant.Granted:
			a.grants = append(a.grants, time.Now())
		default:
			wait = max(pause, grant.Waits[0])
		}
		a.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return nil
}

// count returns the number of requests.
func (a *permitClients) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requests
}

// maxPerWindow returns the highest number of permits in any window, and the share of the limit that
// was used.
func (a *permitClients) maxPerWindow(from, to time.Time) (worst int, used float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	slices.SortFunc(a.grants, time.Time.Compare)
	n := 0
	for at, t := range a.grants {
		within := 0
		for _, earlier := range a.grants[:at+1] {
			if t.Sub(earlier) < limitWindow {
				within++
			}
		}
		worst = max(worst, within)
		if t.After(from) && t.Before(to) {
			n++
		}
	}
	return worst, float64(n) / (a.rate * to.Sub(from).Seconds())
}

// TestPermitsEnforceLimit checks that daemons that all send to an instance with a rate limit keep
// to it and use most of it, even when a daemon or the granter stops.
func TestPermitsEnforceLimit(t *testing.T) {
	for _, test := range []struct {
		name    string
		daemons int
		zones   int
		rate    float64
	}{{"mesh", 9, 3, 3}, {"relays", 24, 3, 3}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			peers := startPeers(t, test.daemons, test.zones)
			peers[0].limits.Observe(ratelimit.Observation{Instance: "i1", Rate: test.rate, SentAt: time.Now(), ReceivedAt: time.Now()})
			granter := func() models.DaemonID { return peers[0].View().Topology.Granter("z1") }
			waitAll(c, peers, discoveryTimeout, "agreed on the granter", func(p *testPeer) bool {
				return p.View().granters != nil && p.View().Topology.Granter("z1") == granter()
			})
			a := &permitClients{zone: "z1", rate: test.rate}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var tasks []task.Task
			stops := map[models.DaemonID]context.CancelFunc{}
			for _, p := range peers {
				of, stop := context.WithCancel(ctx)
				stops[p.cfg.ID] = stop
				tasks = append(tasks, task.Start(of, "ask", func(ctx context.Context) error { return a.requestUntilDone(ctx, p, 30*time.Millisecond) }))
			}
			began := time.Now()
			time.Sleep(limitWindow + time.Second)
			steadyMax, used := a.maxPerWindow(began.Add(time.Second), time.Now())
			t.Logf("no faults: %d permits in %v at most, %.2f of the limit used, %d requests", steadyMax, limitWindow, used, a.count())
			c.Check(used >= minUsedShare, qt.IsTrue, qt.Commentf("%v used", used))

			lost := granter()
			at := slices.IndexFunc(peers, func(p *testPeer) bool { return p.cfg.ID == lost })
			c.Assert(at > 0, qt.IsTrue, qt.Commentf("the granter is %s", lost))
			stops[lost]()
			peers[at].stop()
			taken := waitAll(c, peers[:1], discoveryTimeout, "switched to another granter", func(*testPeer) bool { return granter() != lost })
			t.Logf("another daemon is granter after %v", taken.Round(time.Millisecond))
			time.Sleep(limitWindow)
			began = time.Now()
			time.Sleep(limitWindow)
			_, used = a.maxPerWindow(began, time.Now())
			cancel()
			c.Assert(task.Wait(tasks...), qt.IsNil)
			worst, _ := a.maxPerWindow(began, time.Now())
			t.Logf("overall: %d permits in %v at most; %.2f used with the new granter", worst, limitWindow, used)
			c.Check(used >= minUsedShare, qt.IsTrue, qt.Commentf("%v used", used))
			allowed := 1.5*test.rate*limitWindow.Seconds() + limitSlack
			c.Check(float64(worst) <= allowed, qt.IsTrue, qt.Commentf("%d permits, %v allowed", worst, allowed))
		})
	}
}
