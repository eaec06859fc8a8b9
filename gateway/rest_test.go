package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/breaker"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/quarantine"
)

// askUntil asks until an instance got the last request, and forgets who got those.
func (s *limitedSite) askUntil(name string) {
	for n := 0; len(s.ran) == 0 || s.ran[len(s.ran)-1] != name; n++ {
		s.c.Assert(n < 100, qt.IsTrue)
		s.ask("a")
	}
	s.ran = nil
}

// says has an instance known to ask for something.
func (s *limitedSite) says(id models.InstanceID, rest time.Duration, leaving bool) {
	s.beliefs.breakers.Heard(breaker.Signal{Instance: id, Born: s.beliefs.view.All[id].Born, Heard: time.Now(), Rest: rest, Leaving: leaving})
}

// The rest that an answer asks for binds from the next request on, whatever came of that
// answer's request; and so does its word that the instance leaves.
func TestSignalOfAnAnswerBindsAtOnce(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		told   map[string]string
	}{
		{"turned_away", 503, map[string]string{"Retry-After": "3", "X-Lupinkeel-Not-Executed": "1"}},
		{"failed", 503, map[string]string{"Retry-After": "3"}},
		{"unreadable", 503, map[string]string{"Retry-After": "soon", "X-Lupinkeel-Not-Executed": "1"}},
		{"leaves", 0, map[string]string{"Server-Leaving": "1"}},
		{"leaves_turning_away", 503, map[string]string{"Server-Leaving": "1", "X-Lupinkeel-Not-Executed": "1"}},
		{"leaves_misdirected", http.StatusMisdirectedRequest, map[string]string{"Server-Leaving": "1"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newLimitedSite(t)
			s.status, s.told = test.status, test.told
			s.askUntil("p1")
			s.status, s.told = 0, nil
			for range 20 {
				s.ask("b")
			}
			s.c.Assert(s.ran, qt.Not(qt.Contains), "p1")
			s.c.Assert(s.ran, qt.HasLen, 20)
		})
	}
}

// Another instance has taken over the address of one: what it says is not that one's word.
func TestLeavingOfFormerAddress(t *testing.T) {
	s := newLimitedSite(t)
	other := s.beliefs.view.All["p1"]
	other.ID = "p3"
	s.beliefs.view.All["p3"] = other
	s.status, s.told = http.StatusMisdirectedRequest, map[string]string{"Server-Leaving": "1"}
	s.askUntil("p1")
	s.c.Assert(s.beliefs.breakers.Any(), qt.IsFalse)
}

// Where all instances rest a request is refused at once, without a send, and told to come
// back after the first end, the more urgent ones first.
func TestAllRestingIsRefusedAtOnce(t *testing.T) {
	s := newLimitedSite(t)
	const rest = 1500 * time.Millisecond
	s.says("p1", rest, false)
	s.says("p2", 2*rest, false)
	told := map[string]bool{}
	for range 4 {
		resp, took := s.ask("a")
		s.c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		s.c.Assert(took < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(after >= rest.Seconds()-0.2 && after <= 1.5*rest.Seconds()+1, qt.IsTrue, qt.Commentf("%v s", after))
		told[resp.Header.Get("Retry-After")] = true
	}
	s.c.Assert(len(told) > 1, qt.IsTrue)
	s.c.Assert(s.ran, qt.HasLen, 0)

	now := time.Now()
	o := opening{at: now.Add(time.Second), since: now.Add(-6 * time.Second)}
	for range 100 {
		s.c.Assert(afterRest(o, 0, now) <= afterRest(o, 2, now), qt.IsTrue)
		s.c.Assert(afterRest(o, 9, now) <= 4*time.Second, qt.IsTrue)
	}
}

// A rest that ends within the time that requests wait for a place is waited for.
func TestEndOfRestIsAwaited(t *testing.T) {
	s := newLimitedSite(t)
	s.says("p1", 15*time.Millisecond, false)
	s.says("p2", time.Minute, false)
	resp, _ := s.ask("a")
	s.c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	s.c.Assert(s.ran, qt.DeepEquals, []string{"p1"})
}

// An instance asks for rest while a connection to it is made for a request that was admitted
// before, which also has a permit: nothing is sent, and it counts as no failure.
func TestRestIsCheckedAtTheSend(t *testing.T) {
	s := newLimitedSite(t)
	g := New(Settings{RetryWindow: time.Second}, s.beliefs, newBalance(), metrics.NewSet(), zerolog.Nop())
	i := s.beliefs.view.All["p1"]
	s.name("p1")
	p := permit{instance: "p1", granted: time.Now()}
	r, err := http.NewRequest(http.MethodPost, "http://api.example/again/x", nil)
	s.c.Assert(err, qt.IsNil)
	e := &exchange{g: g, r: r, until: time.Now().Add(time.Second)}
	s.c.Assert(e.held(i, p), qt.IsNil)
	s.says("p1", time.Second, false)
	s.c.Assert(e.held(i, p), qt.ErrorIs, breaker.ErrResting)
	_, _, err = e.sendAdmitted(context.Background(), i, p, models.Attempt{}, nil)
	s.c.Assert(errors.Is(err, errNotRun) && errors.Is(err, errHeld), qt.IsTrue, qt.Commentf("%v", err))
	_, err = e.send(context.Background(), i, p, models.Attempt{}, nil)
	s.c.Assert(errors.Is(err, errNotRun) && errors.Is(err, errHeld), qt.IsTrue, qt.Commentf("%v", err))
	s.c.Assert(g.balance.failed, qt.HasLen, 0)
	s.c.Assert(s.ran, qt.HasLen, 0)
}

// A request on trial has an instance of its own, and goes to the other one while that rests.
func TestRequestOnTrialLeavesRestingAlone(t *testing.T) {
	s := newLimitedSite(t)
	d := quarantine.Request{Workspace: "ws", Method: http.MethodPost, Host: "api.example", Target: "/again/x", Body: []byte("body")}.Digest()
	for _, id := range []models.InstanceID{"i1", "i2"} {
		s.beliefs.quarantine.Crashed(quarantine.Crash{Instance: id, At: time.Now().Add(-time.Minute), Requests: map[quarantine.Digest]bool{d: false}})
	}
	s.c.Assert(s.beliefs.quarantine.Standing(d).OnTrial(), qt.IsTrue)
	own := []string{"p1", "p2"}[s.beliefs.quarantine.Place(d, 2)]
	s.says(models.InstanceID(own), time.Minute, false)
	s.ask("a")
	s.c.Assert(s.ran, qt.HasLen, 1)
	s.c.Assert(s.ran, qt.Not(qt.Contains), own)
}

// An instance that turns away what it gets, without a word of when to come back, has no
// requests, and is not taken for the least busy one.
func TestTurningAwayIsPassedOver(t *testing.T) {
	s := newLimitedSite(t)
	s.status, s.told = http.StatusServiceUnavailable, map[string]string{"X-Lupinkeel-Not-Executed": "1"}
	s.askUntil("p1")
	for range 20 {
		s.ask("b")
	}
	s.c.Assert(s.ran, qt.Not(qt.Contains), "p1")
}

// An instance asked another daemon for rest: this one prefers others, and still uses it where
// there is none.
func TestOthersRestIsAHint(t *testing.T) {
	c := qt.New(t)
	b := newBalance()
	beliefs := pickBeliefs()
	beliefs.breakers = noBreakers()
	b.zone = "b"
	pick := func(tried ...models.InstanceID) models.InstanceID {
		i, found := b.pickInstance(beliefs, "s", tried)
		c.Assert(found, qt.IsTrue)
		return i.ID
	}
	c.Assert(pick(), qt.Equals, models.InstanceID("b"))
	beliefs.breakers.Note(breaker.Signal{Instance: "b", Heard: time.Now(), Rest: time.Minute}, "d2")
	for range 20 {
		c.Assert(pick(), qt.Not(qt.Equals), models.InstanceID("b"))
	}
	c.Assert(pick("a", "c"), qt.Equals, models.InstanceID("b"))
}
