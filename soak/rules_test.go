package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/standin/replica"
	"github.com/lupinkeel/lupinkeel/standin/store"
)

// TestRuleFaults plays random doses of faults that once broke a rule, and checks this rule: as many
// seeds as LUPINKEEL_SOAK_SEEDS says (one for each kind by default), counting from LUPINKEEL_SOAK_FIRST.
// The seed determines the kind of fault and its doses.
func TestRuleFaults(t *testing.T) {
	bin := binary(t)
	kinds := []struct {
		name string
		play func(t *testing.T, bin string, r *rand.Rand)
	}{
		{"stops", playStops}, {"kills", playKills}, {"late_route", playLateRoute}, {"unsigned", playUnsigned}, {"endless", playEndless},
	}
	first, count := soakSeeds(t, uint64(len(kinds)))
	for seed := first; seed < first+count; seed++ {
		kind := kinds[seed%uint64(len(kinds))]
		t.Run(fmt.Sprintf("%s/%d", kind.name, seed), func(t *testing.T) { kind.play(t, bin, rand.New(rand.NewPCG(seed, 75))) })
	}
}

// soakSeeds returns the first seed and the number of seeds to play.
func soakSeeds(t *testing.T, count uint64) (first, n uint64) {
	read := func(name string, value uint64) uint64 {
		text := os.Getenv(name)
		if text == "" {
			return value
		}
		n, err := strconv.ParseUint(text, 10, 64)
		qt.Assert(t, err, qt.IsNil)
		return n
	}
	return read("LUPINKEEL_SOAK_FIRST", 1), read("LUPINKEEL_SOAK_SEEDS", count)
}

// between returns a random duration.
func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

// playStops revokes a key while the store is down, and stops daemons in series: no daemon may accept
// the key after the bound.
func playStops(t *testing.T, bin string, r *rand.Rand) {
	s := startSite(t, bin, t.TempDir(), "--strict-keys=true")
	s.waitServing()
	time.Sleep(between(r, 0, 2*time.Second))
	s.store.SetFaults(store.Faults{Busy: true})
	s.configureKeys("k2")
	revokedAt := time.Now()
	late := s.sendRevoked(revokedAt)
	time.Sleep(between(r, 0, 600*time.Millisecond))
	always, stops := r.IntN(2) == 0, 0
	for time.Since(revokedAt) < keysBound+time.Second {
		d := s.daemons[0]
		if !always {
			d = s.daemons[r.IntN(len(s.daemons))]
		}
		stops++
		d.signal(syscall.SIGSTOP)
		time.Sleep(between(r, 200*time.Millisecond, 2200*time.Millisecond))
		d.signal(syscall.SIGCONT)
		time.Sleep(between(r, 20*time.Millisecond, 300*time.Millisecond))
	}
	accepted := late()
	t.Logf("%d stops", stops)
	qt.Check(t, accepted, qt.HasLen, 0, qt.Commentf("%s", strings.Join(accepted[:min(3, len(accepted))], "\n")))
}

const (
	// budgetWindow, budgetRatio and budgetSlack are the retry budget of playKills.
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.2
	budgetSlack  = 60.0
	// budgetRequests is the number of requests per second, budgetTime how long they are sent.
	budgetRequests = 80
	budgetTime     = 14 * time.Second
)

// playKills kills daemons again and again while answers are lost: over any window, what arrives at
// instances again must stay within the retry budget.
func playKills(t *testing.T, bin string, r *rand.Rand) {
	s := startSite(t, bin, t.TempDir(), "--retry-ratio", fmt.Sprint(budgetRatio), "--retry-slack", fmt.Sprint(budgetSlack), "--retry-window", budgetWindow.String())
	for range extraPlainInstances {
		s.add("plain", "")
	}
	s.waitServing()
	s.pool.SetWrongAnswers(replica.WrongAnswers{Lost: 0.5 + 0.3*r.Float64()})
	interval := between(r, 300*time.Millisecond, 1100*time.Millisecond)
	done := make(chan struct{})
	ended := make(chan struct{})
	var restarts sync.RWMutex
	go func() {
		defer close(ended)
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(interval):
			}
			restarts.Lock()
			d := s.daemons[n%len(s.daemons)]
			d.kill()
			d.start(t)
			restarts.Unlock()
		}
	}()
	var mu sync.Mutex
	var sent []time.Time
	sendAtRate(budgetRequests, budgetTime, func(n int, at time.Duration) floodReply {
		mu.Lock()
		sent = append(sent, time.Now())
		mu.Unlock()
		return sendAlone(s.daemons[n%len(s.daemons)].addr, newRequest(kindIdempotent, ""), at)
	})
	close(done)
	<-ended
	again, allowed := mostRetries(s.pool.Arrivals(), sent)
	t.Logf("a kill every %v: %d of %.0f retries", interval, again, allowed)
	qt.Check(t, float64(again) <= allowed, qt.IsTrue, qt.Commentf("%d requests arrived again within %v, %.0f are allowed", again, budgetWindow, allowed))
}

// mostRetries returns how many requests arrived again in the window in which they exceed the budget
// most, and how many may. The requests of a window are those of the busiest of it, the one before and
// the one half a window before.
func mostRetries(arrivals []replica.Arrival, sent []time.Time) (again int, allowed float64) {
	slices.SortFunc(arrivals, func(a, b replica.Arrival) int { return a.At.Compare(b.At) })
	slices.SortFunc(sent, time.Time.Compare)
	seen := map[models.RequestID]bool{}
	var repeats []time.Time
	for _, a := range arrivals {
		if seen[a.ID] {
			repeats = append(repeats, a.At)
		}
		seen[a.ID] = true
	}
	count := func(times []time.Time, from time.Time) int {
		n := 0
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(budgetWindow)) {
				n++
			}
		}
		return n
	}
	worst := 0.0
	for n, from := range repeats {
		retries := count(repeats[n:], from)
		requests := max(count(sent, from), count(sent, from.Add(-budgetWindow/2)), count(sent, from.Add(-budgetWindow)))
		bound := budgetRatio*float64(requests) + budgetSlack
		if over := float64(retries) - bound; n == 0 || over > worst {
			worst, again, allowed = over, retries, bound
		}
	}
	return again, allowed
}

const (
	// firstCallers and lateCallers are the callers of the models in playLateRoute.
	firstCallers, lateCallers = 8, 4
	// lateGroupTime is how long a model that is asked for may have no group: its load time and 4 s.
	lateGroupTime = 900*time.Millisecond + 4*time.Second
	// lateRouteTime is how long requests for it are checked after that.
	lateRouteTime = 4 * time.Second
	// minServedLate is the fraction of them that must be served.
	minServedLate = 0.95
)

// playLateRoute lets many callers ask for the large model for a while, and then a few for the small one,
// which nobody has asked for yet: it must be served from its load time on.
func playLateRoute(t *testing.T, bin string, r *rand.Rand) {
	s := startSite(t, bin, t.TempDir())
	s.waitServing()
	stop := make(chan struct{})
	var calling sync.WaitGroup
	call := func(callers int, model string, stop <-chan struct{}) *flood {
		out, began := &flood{}, time.Now()
		for n := range callers {
			calling.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					q := newRequest(kindStream, model)
					q.outputTokens = surgeOutputTokens
					reply := sendAlone(s.daemons[n%len(s.daemons)].addr, q, time.Since(began))
					out.add(reply)
					if !reply.complete {
						time.Sleep(300 * time.Millisecond)
					}
				}
			})
		}
		return out
	}
	call(firstCallers, "big", stop)
	time.Sleep(time.Second)
	surge := make(chan struct{})
	call(surgeCallers, "big", surge)
	time.Sleep(between(r, 4*time.Second, 9*time.Second))
	close(surge)
	time.Sleep(between(r, 0, 3*time.Second))
	before := s.pool.ServingGroups("small")
	late := call(lateCallers, "small", stop)
	time.Sleep(lateGroupTime + lateRouteTime)
	close(stop)
	calling.Wait()
	checked := late.from(lateGroupTime)
	t.Logf("%d small groups, then %d; %v", before, s.pool.ServingGroups("small"), checked)
	qt.Check(t, checked.servedFraction() >= minServedLate, qt.IsTrue, qt.Commentf("%v", checked))
}

// playUnsigned lets instances answer requests that have run with statuses that look as if they had not:
// callers must not be told so.
func playUnsigned(t *testing.T, bin string, r *rand.Rand) {
	s, c := startLoadedSite(t, bin)
	s.pool.SetWrongAnswers(replica.WrongAnswers{Unsigned: 0.05 + 0.5*r.Float64(), Lost: 0.1 * r.Float64()})
	time.Sleep(between(r, 2*time.Second, 4*time.Second))
	s.pool.SetWrongAnswers(replica.WrongAnswers{})
	c.stop()
	var wrong []string
	for _, reply := range c.replies {
		ran := s.pool.RunCount(models.RequestID(reply.id)) > 0
		promised := slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, reply.status)
		if reply.kind == kindNonIdempotent && ran && promised {
			wrong = append(wrong, fmt.Sprintf("%s ran and got status %d", reply.id, reply.status))
		}
	}
	qt.Check(t, wrong, qt.HasLen, 0, qt.Commentf("%s", strings.Join(wrong[:min(3, len(wrong))], "\n")))
}

// playEndless lets answers without end arrive at a small daemon.
func playEndless(t *testing.T, bin string, r *rand.Rand) {
	all := replica.EndlessAnswers()
	kind := all[r.IntN(len(all))]
	testEndlessAnswers(t, bin, []replica.EndlessAnswer{kind}, 10+r.IntN(endlessAnswers), smallMemoryMB, kind != replica.EndlessBody)
}
