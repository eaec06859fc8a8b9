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
	// limitWindow is the time over which an instance's requests are held against its
	// limit, which allows one and a half times as many and limitSlack.
	limitWindow = 4 * time.Second
	limitSlack  = 5
	// usedPart is the part of a limit that must be used where there is demand for more.
	usedPart = 0.8
)

// askers are daemons that keep asking for permits for one instance.
type askers struct {
	zone models.Zone
	rate float64

	mu     sync.Mutex
	grants []time.Time
	asks   int
}

// keepAsking asks until the context ends, as a gateway does that leaves the instance alone
// when it is told to.
func (a *askers) keepAsking(ctx context.Context, p *peerNode, pause time.Duration) error {
	ask := ratelimit.PermitRequest{Candidates: []ratelimit.Candidate{{Instance: "i1", Rate: a.rate}}}
	for ctx.Err() == nil {
		grant, err := p.AskPermit(ctx, a.zone, ask)
		wait := pause
		a.mu.Lock()
		a.asks++
		switch {
		case err != nil:
			wait = granterRest
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

// count is how often permits were asked for.
func (a *askers) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.asks
}

// worst is the most permits in any window, used the part of the limit that they used.
func (a *askers) worst(from, to time.Time) (worst int, used float64) {
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

// Daemons that all want an instance with a limit share it whoever of them ends, starts or
// grants, and use most of it.
func TestPermitsKeepALimit(t *testing.T) {
	for _, test := range []struct {
		name    string
		daemons int
		zones   int
		rate    float64
	}{{"mesh", 9, 3, 3}, {"relays", 24, 3, 3}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			peers := startPeers(t, test.daemons, test.zones)
			peers[0].limits.Heard(ratelimit.Observation{Instance: "i1", Rate: test.rate, SentAt: time.Now(), ReceivedAt: time.Now()})
			granter := func() models.DaemonID { return peers[0].View().Arranged.Granter("z1") }
			waitAll(c, peers, met, "agreed on who grants", func(p *peerNode) bool {
				return p.View().granters != nil && p.View().Arranged.Granter("z1") == granter()
			})
			a := &askers{zone: "z1", rate: test.rate}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var tasks []task.Task
			stops := map[models.DaemonID]context.CancelFunc{}
			for _, p := range peers {
				of, stop := context.WithCancel(ctx)
				stops[p.cfg.ID] = stop
				tasks = append(tasks, task.Start(of, "ask", func(ctx context.Context) error { return a.keepAsking(ctx, p, 30*time.Millisecond) }))
			}
			began := time.Now()
			time.Sleep(limitWindow + time.Second)
			calm, used := a.worst(began.Add(time.Second), time.Now())
			t.Logf("no faults: %d permits in %v at most, %.2f of the limit used, %d asks", calm, limitWindow, used, a.count())
			c.Check(used >= usedPart, qt.IsTrue, qt.Commentf("%v used", used))

			lost := granter()
			at := slices.IndexFunc(peers, func(p *peerNode) bool { return p.cfg.ID == lost })
			c.Assert(at > 0, qt.IsTrue, qt.Commentf("%s grants", lost))
			stops[lost]()
			peers[at].stop()
			taken := waitAll(c, peers[:1], met, "another one grants", func(*peerNode) bool { return granter() != lost })
			t.Logf("another one grants after %v", taken.Round(time.Millisecond))
			time.Sleep(limitWindow)
			began = time.Now()
			time.Sleep(limitWindow)
			_, used = a.worst(began, time.Now())
			cancel()
			c.Assert(task.Wait(tasks...), qt.IsNil)
			worst, _ := a.worst(began, time.Now())
			t.Logf("over all: %d permits in %v at most; %.2f used once another one granted", worst, limitWindow, used)
			c.Check(used >= usedPart, qt.IsTrue, qt.Commentf("%v used", used))
			allowed := 1.5*test.rate*limitWindow.Seconds() + limitSlack
			c.Check(float64(worst) <= allowed, qt.IsTrue, qt.Commentf("%d permits, %v allowed", worst, allowed))
		})
	}
}
