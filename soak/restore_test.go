package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/standin/store"
)

// restore has the store go away for a moment and come back from a copy.
func (s *site) restore(c store.Copy) {
	s.store.Misbehave(store.Faults{Busy: true})
	time.Sleep(300 * time.Millisecond)
	s.store.Restore(c)
	s.store.Misbehave(store.Faults{})
}

// reconfigure has the operator write the newest configuration again.
func (s *site) reconfigure(key string) {
	s.store.Put("op", "config", fmt.Appendf(nil, configText, s.version, key))
}

// TestTakenKeyAfterRestore checks that a key which was taken away is not good again at
// any daemon when the store comes back from a copy that still has it, and that the key
// that took its place stays good: not at those that ran through it, nor at one that is
// started before the operator has written again. The proof that keys are current ends in
// between.
func TestTakenKeyAfterRestore(t *testing.T) {
	c := qt.New(t)
	s := startSite(t, binary(t), t.TempDir(), "--strict-keys=true")
	s.waitServing()
	copied := s.store.Copy()
	const newKey = "k2"
	s.configureKeys(newKey)
	time.Sleep(time.Second)
	s.restore(copied)
	s.daemons[0].kill()
	s.daemons[0].start(t)
	client := &http.Client{Timeout: time.Second}
	check := func(when string, served bool) {
		for _, d := range s.daemons {
			taken := ask(client, d.addr, newRequest(kindAgain, ""))
			c.Assert(taken.status, qt.Not(qt.Equals), http.StatusOK, qt.Commentf("%s serves a key that was taken away %s", d.name, when))
			good := askWith(client, d.addr, newRequest(kindAgain, ""), newKey)
			c.Assert(good.status == http.StatusOK || !served, qt.IsTrue, qt.Commentf("%s answers %d to a good key %s", d.name, good.status, when))
		}
	}
	for end := time.Now().Add(keysBound + time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		check("while a daemon starts", false)
	}
	check("before the operator has written again", true)
	s.reconfigure(newKey)
	time.Sleep(time.Second)
	check("once the operator has written again", true)
}

// TestRestore checks that a site goes on through two restores of the store within
// seconds, with instances that come and leave just before, a daemon that is stopped and
// started meanwhile, and all killed at last: callers see no fault, instances no broken
// rule, and service is as before within seconds.
func TestRestore(t *testing.T) {
	s := startSite(t, binary(t), t.TempDir())
	s.waitServing()
	c := startCallers(s)
	copied := s.store.Copy()
	for _, i := range s.fabric.Instances()[:3] {
		i.Drain()
		s.add("engines", i.Domain)
	}
	time.Sleep(time.Second)
	s.restore(copied)
	qt.Check(t, s.daemons[1].stop(), qt.IsNil)
	s.daemons[1].start(t)
	time.Sleep(time.Second)
	copied = s.store.Copy()
	s.configure()
	s.add("engines", "a")
	time.Sleep(500 * time.Millisecond)
	s.restore(copied)
	s.reconfigure(firstKey)
	began := time.Now()
	qt.Check(t, c.waitHealed(), qt.IsTrue)
	t.Logf("served as before %v after the second restore", time.Since(began).Round(100*time.Millisecond))

	copied = s.store.Copy()
	for _, d := range s.daemons {
		d.kill()
	}
	s.restore(copied)
	for _, d := range s.daemons {
		d.start(t)
	}
	began = time.Now()
	qt.Check(t, c.waitHealed(), qt.IsTrue)
	t.Logf("served as before %v after all were killed in the third", time.Since(began).Round(100*time.Millisecond))
	c.stop()
	time.Sleep(300 * time.Millisecond)
	qt.Check(t, append(s.fabric.Broken(), c.problems()...), qt.HasLen, 0)
	t.Log(c.summary())
}
