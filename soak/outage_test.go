package soak

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/standin/store"
)

// TestKeysInOutage plays an outage of the store that lasts longer than the bound
// for taken keys, in the course of which the operator takes a key away. Strict
// daemons refuse every key once the bound is over. The others go on serving, the
// caller of the key that was taken away as well, until the store is back or the
// proof is older than they may bear.
func TestKeysInOutage(t *testing.T) {
	bin := binary(t)
	const (
		long = keysBound + time.Second
		// underWay is how long an answer of the store may be under way when the
		// outage begins.
		underWay = 500 * time.Millisecond
	)
	for _, test := range []struct {
		name  string
		flags []string
		taken bool
		// during and after are the answers to a known key in the outage and
		// once the store is back.
		during, after int
	}{
		{"strict", []string{"--strict-keys=true"}, false, http.StatusServiceUnavailable, http.StatusOK},
		{"strict_taken", []string{"--strict-keys=true"}, true, http.StatusServiceUnavailable, http.StatusUnauthorized},
		{"lenient", []string{"--strict-keys=false"}, false, http.StatusOK, http.StatusOK},
		{"lenient_taken", []string{"--strict-keys=false"}, true, http.StatusOK, http.StatusUnauthorized},
		{"lenient_over", []string{"--strict-keys=false", "--stale-keys=2s"}, true, http.StatusServiceUnavailable, http.StatusUnauthorized},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startSite(t, bin, t.TempDir(), test.flags...)
			s.waitServing()
			s.store.Misbehave(store.Faults{Busy: true})
			time.Sleep(underWay)
			if test.taken {
				s.configureKeys("k2")
			}
			time.Sleep(long - underWay)
			s.expect("during the outage", test.during)
			s.store.Misbehave(store.Faults{})
			time.Sleep(2 * time.Second)
			if test.after == http.StatusUnauthorized {
				s.expectRefused("after it")
				return
			}
			s.expect("after it", test.after)
		})
	}
}

// proofRenewed is how long it may take until the proof is renewed that a key is not known:
// the daemons' bound for it is shorter here.
const proofRenewed = 1500 * time.Millisecond

// expectRefused asks every daemon again and again with the key that the site begins with: it
// must be refused each time, and told as unknown before long. Meanwhile a daemon whose proof
// is just being renewed may ask the caller to come back.
func (s *site) expectRefused(when string) {
	client := &http.Client{Timeout: 2 * time.Second}
	for _, d := range s.daemons {
		unknown := false
		for end := time.Now().Add(proofRenewed); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			r := ask(client, d.addr, newRequest(kindAgain, ""))
			unknown = unknown || r.status == http.StatusUnauthorized
			if r.status != http.StatusUnauthorized && r.status != http.StatusServiceUnavailable {
				s.t.Errorf("%s: %s: status %d", d.name, when, r.status)
			}
		}
		qt.Check(s.t, unknown, qt.IsTrue, qt.Commentf("%s: %s: the key is not told as unknown", d.name, when))
	}
}

// expect asks every daemon with the key that the site begins with.
func (s *site) expect(when string, status int) {
	client := &http.Client{Timeout: 2 * time.Second}
	for _, d := range s.daemons {
		r := ask(client, d.addr, newRequest(kindAgain, ""))
		qt.Check(s.t, r.status, qt.Equals, status, qt.Commentf("%s: %s", d.name, when))
	}
}
