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
	// simRate is the limit that each instance names, simFor how long it does.
	simRate = 1.5
	simFor  = 60 * time.Second
	// window and allowed are what an instance may get.
	window  = 4 * time.Second
	allowed = 1.5*simRate*4 + 5
	// leastUsed is the part of the rate that must be used where there is demand for more.
	leastUsed = 0.8
	// mostWanted is how many instances one ask names.
	mostWanted = 8
)

// division decides which instance a request that came to a daemon goes to.
type division interface {
	send(daemon int, now time.Time, r *rand.Rand) (instance int, sent bool)
}

// equalShares has each daemon keep a bucket of its own for each instance, with its share of
// the rate.
type equalShares struct {
	daemons, instances int
	buckets            map[[2]int]*bucket
}

func (d *equalShares) send(daemon int, now time.Time, r *rand.Rand) (int, bool) {
	for _, i := range r.Perm(d.instances) {
		b := d.buckets[[2]int{daemon, i}]
		if b == nil {
			b = &bucket{at: now, level: r.Float64() + burst - 1}
			d.buckets[[2]int{daemon, i}] = b
		}
		if b.take(0, simRate/float64(d.daemons), now) == 0 {
			return i, true
		}
	}
	return 0, false
}

// fewSenders has two daemons send to an instance, and the others leave it alone.
type fewSenders struct {
	daemons, instances int
	buckets            map[[2]int]*bucket
}

func (d *fewSenders) send(daemon int, now time.Time, r *rand.Rand) (int, bool) {
	for _, i := range r.Perm(d.instances) {
		if daemon != i*7%d.daemons && daemon != (i*13+1)%d.daemons {
			continue
		}
		b := d.buckets[[2]int{daemon, i}]
		if b == nil {
			b = &bucket{at: now, level: burst}
			d.buckets[[2]int{daemon, i}] = b
		}
		if b.take(0, simRate/2, now) == 0 {
			return i, true
		}
	}
	return 0, false
}

// permits has one daemon of each of three zones grant permits for the zone's instances.
type permits struct {
	instances int
	granters  [3]Granter
	// barred is until when a daemon does not ask for an instance.
	barred map[[2]int]time.Time
	asks   int
}

func (d *permits) send(daemon int, now time.Time, r *rand.Rand) (int, bool) {
	order := r.Perm(d.instances)
	// Instances of the daemon's own zone come first.
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare((a-daemon%3+3)%3, (b-daemon%3+3)%3)
	})
	for zone := range d.granters {
		at := (daemon + zone) % 3
		var ask Ask
		var ids []int
		for _, i := range order {
			if i%3 == at && len(ids) < mostWanted && now.After(d.barred[[2]int{daemon, i}]) {
				ids = append(ids, i)
				ask.Wanted = append(ask.Wanted, Wanted{Instance: models.InstanceID(fmt.Sprint(i)), Rate: simRate})
			}
		}
		if len(ids) == 0 {
			continue
		}
		d.asks++
		grant := d.granters[at].Ask(ask, func(Wanted) float64 { return simRate }, now)
		for n, wait := range grant.Waits {
			if wait > 0 {
				d.barred[[2]int{daemon, ids[n]}] = now.Add(wait)
			}
		}
		if grant.Granted {
			return ids[grant.At], true
		}
	}
	return 0, false
}

// simulate has requests come at random to daemons, and returns which part of the rates was
// used, the most requests that an instance got in any window, and what came.
func simulate(d division, daemons, instances int, demand float64) (used float64, worst, came int) {
	r := rand.New(rand.NewPCG(43, uint64(daemons)))
	began := time.Unix(1_000_000, 0)
	sent, total := make([][]time.Time, instances), 0
	for now := began; now.Before(began.Add(simFor)); now = now.Add(time.Duration(r.ExpFloat64() / demand * float64(time.Second))) {
		came++
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
	return float64(total) / (simRate * float64(instances) * simFor.Seconds()), worst, came
}

// TestDivisions compares ways to divide limits among daemons. The one in use must keep the
// limits and use the rates; of the others the log tells.
func TestDivisions(t *testing.T) {
	for _, test := range []struct {
		daemons, instances int
		// demand is how many requests come in a second.
		demand float64
	}{{9, 8, 20}, {9, 8, 13}, {300, 3, 8}, {300, 200, 400}, {300, 200, 310}} {
		t.Run(fmt.Sprint(test.daemons, "_", test.instances, "_", test.demand), func(t *testing.T) {
			granted := &permits{instances: test.instances, barred: map[[2]int]time.Time{}}
			for _, d := range []division{
				&equalShares{daemons: test.daemons, instances: test.instances, buckets: map[[2]int]*bucket{}},
				&fewSenders{daemons: test.daemons, instances: test.instances, buckets: map[[2]int]*bucket{}},
				granted,
			} {
				used, worst, came := simulate(d, test.daemons, test.instances, test.demand)
				t.Logf("%T: %.2f of the rate used, %d in %v at most", d, used, worst, window)
				if d == division(granted) {
					t.Logf("%d requests, %d asks", came, granted.asks)
					qt.Check(t, used >= leastUsed, qt.IsTrue, qt.Commentf("%v used", used))
					qt.Check(t, float64(worst) <= allowed, qt.IsTrue, qt.Commentf("%d in %v", worst, window))
				}
			}
		})
	}
}
