package ratelimit

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// simRate is the limit that each instance announces, simDuration the length of the simulation.
	simRate     = 1.5
	simDuration = 60 * time.Second
	// maxPerWindow is the maximum number of requests that an instance may get within window.
	window       = 4 * time.Second
	maxPerWindow = 1.5*simRate*4 + 5
	// minUsed is the fraction of the rate that must be used if the demand is higher.
	minUsed = 0.8
	// maxCandidates is the maximum number of instances in a permit request.
	maxCandidates = 8
)

// strategy decides which instance a request that arrives at a daemon is sent to.
type strategy interface {
	send(daemon int, now time.Time, r *rand.Rand) (instance int, sent bool)
}

// equalShares gives each daemon its own bucket for each instance, with an equal share of the rate.
type equalShares struct {
	daemons, instances int
	buckets            map[[2]int]*bucket
}

func (d *equalShares) send(daemon int, now time.Time, r *rand.Rand) (int, bool) {
	for _, i := range r.Perm(d.instances) {
		b := d.buckets[[2]int{daemon, i}]
		if b == nil {
			b = &bucket{updatedAt: now, level: r.Float64() + burst - 1}
			d.buckets[[2]int{daemon, i}] = b
		}
		if b.take(0, simRate/float64(d.daemons), now) == 0 {
			return i, true
		}
	}
	return 0, false
}

// twoSenders lets only two daemons send to each instance.
type twoSenders struct {
	daemons, instances int
	buckets            map[[2]int]*bucket
}

func (d *twoSenders) send(daemon int, now time.Time, r *rand.Rand) (int, bool) {
	for _, i := range r.Perm(d.instances) {
		if daemon != i*7%d.daemons && daemon != (i*13+1)%d.daemons {
			continue
		}
		b := d.buckets[[2]int{daemon, i}]
		if b == nil {
			b = &bucket{updatedAt: now, level: burst}
			d.buckets[[2]int{daemon, i}] = b
		}
		if b.take(0, simRate/2, now) == 0 {
			return i, true
		}
	}
	return 0, false
}

// centralGranter has one daemon in each of three zones grant the permits for the zone's instances.
type centralGranter struct {
	instances int
	granters  [3]Granter
	// retryAt is when a daemon may ask for an instance again.
	retryAt  map[[2]int]time.Time
	requests int
}

func (d *centralGranter) send(daemon int, now time.Time, r *rand.Rand) (int, bool) {
	order := r.Perm(d.instances)
	// Instances of the daemon's own zone come first.
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare((a-daemon%3+3)%3, (b-daemon%3+3)%3)
	})
	for zone := range d.granters {
		at := (daemon + zone) % 3
		var ask PermitRequest
		var ids []int
		for _, i := range order {
			if i%3 == at && len(ids) < maxCandidates && now.After(d.retryAt[[2]int{daemon, i}]) {
				ids = append(ids, i)
				ask.Candidates = append(ask.Candidates, Candidate{Instance: models.InstanceID(fmt.Sprint(i)), Rate: simRate})
			}
		}
		if len(ids) == 0 {
			continue
		}
		d.requests++
		grant := d.granters[at].Decide(ask, func(Candidate) float64 { return simRate }, now)
		for n, wait := range grant.Waits {
			if wait > 0 {
				d.retryAt[[2]int{daemon, ids[n]}] = now.Add(wait)
			}
		}
		if grant.Granted {
			return ids[grant.Index], true
		}
	}
	return 0, false
}

// simulate sends requests at random times to random daemons. It returns the used fraction of the
// rates, the highest number of requests that an instance got in any window, and the number of
// requests.
func simulate(d strategy, daemons, instances int, demand float64) (used float64, worst, requests int) {
	r := rand.New(rand.NewPCG(43, uint64(daemons)))
	began := time.Unix(1_000_000, 0)
	sent, total := make([][]time.Time, instances), 0
	for now := began; now.Before(began.Add(simDuration)); now = now.Add(time.Duration(r.ExpFloat64() / demand * float64(time.Second))) {
		requests++
		i, ok := d.send(r.IntN(daemons), now, r)
		if !ok {
			continue
		}
		total++
		sent[i] = append(sent[i], now)
		within := 0
		for _, t := range slices.Backward(sent[i]) {
			if now.Sub(t) > window {
				break
			}
			within++
		}
		worst = max(worst, within)
	}
	return float64(total) / (simRate * float64(instances) * simDuration.Seconds()), worst, requests
}

// TestStrategies compares strategies to divide limits among daemons. Only the strategy in use,
// centralGranter, must stay within the limits and use the rates; the results of the others are
// logged.
func TestStrategies(t *testing.T) {
	for _, test := range []struct {
		daemons, instances int
		// demand is in requests per second.
		demand float64
	}{{9, 8, 20}, {9, 8, 13}, {300, 3, 8}, {300, 200, 400}, {300, 200, 310}} {
		t.Run(fmt.Sprint(test.daemons, "_", test.instances, "_", test.demand), func(t *testing.T) {
			granted := &centralGranter{instances: test.instances, retryAt: map[[2]int]time.Time{}}
			for _, d := range []strategy{
				&equalShares{daemons: test.daemons, instances: test.instances, buckets: map[[2]int]*bucket{}},
				&twoSenders{daemons: test.daemons, instances: test.instances, buckets: map[[2]int]*bucket{}},
				granted,
			} {
				used, worst, came := simulate(d, test.daemons, test.instances, test.demand)
				t.Logf("%T: %.2f of the rate used, at most %d in %v", d, used, worst, window)
				if d == strategy(granted) {
					t.Logf("%d requests, %d permit requests", came, granted.requests)
					qt.Check(t, used >= minUsed, qt.IsTrue, qt.Commentf("%v used", used))
					qt.Check(t, float64(worst) <= maxPerWindow, qt.IsTrue, qt.Commentf("%d in %v", worst, window))
				}
			}
		})
	}
}
