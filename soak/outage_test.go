package soak

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/standin/store"
)

// TestKeysInOutage checks API keys during an outage of the store that lasts longer than the bound
// for revoked keys. A key is revoked during the outage. With strict keys, daemons reject every key
// once the bound has passed. Otherwise they go on serving, also with the revoked key, until the
// store is back or their proof of the keys is older than --stale-keys allows.
func TestKeysInOutage(t *testing.T) {
	bin := binary(t)
	const (
		outage = keysBound + time.Second
		// inFlight is how long responses of the store may be in flight when the outage begins.
		inFlight = 500 * time.Millisecond
	)
	for _, test := range []struct {
		name    string
		flags   []string
		revoked bool
		// during and after are the expected statuses for a valid key during the outage and once the
		// store is back.
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
			s.store.SetFaults(store.Faults{Busy: true})
			time.Sleep(inFlight)
			if test.revoked {
				s.configureKeys("k2")
			}
			time.Sleep(outage - inFlight)
			s.expectStatus("during the outage", test.during)
			s.store.SetFaults(store.Faults{})
			time.Sleep(2 * time.Second)
			if test.after == http.StatusUnauthorized {
				s.expectKeyRejected("after the outage")
				return
			}
			s.expectStatus("after the outage", test.after)
		})
	}
}

// proofRenewalTime is how long a daemon may take to renew its proof that a key is unknown. The
// daemons' bound in this test is shorter.
const proofRenewalTime = 1500 * time.Millisecond

// expectKeyRejected sends requests with the first key to every daemon: each must be rejected, and
// before long with status 401. Until then a daemon that is renewing its proof may respond with 503.
func (s *site) expectKeyRejected(when string) {
	client := &http.Client{Timeout: 2 * time.Second}
	for _, d := range s.daemons {
		unknown := false
		for end := time.Now().Add(proofRenewalTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			r := send(client, d.addr, newRequest(kindIdempotent, ""))
			unknown = unknown || r.status == http.StatusUnauthorized
			if r.status != http.StatusUnauthorized && r.status != http.StatusServiceUnavailable {
				s.t.Errorf("%s: %s: status %d", d.name, when, r.status)
			}
		}
		qt.Check(s.t, unknown, qt.IsTrue, qt.Commentf("%s: %s: the key is not refused as unknown", d.name, when))
	}
}

// expectStatus sends a request with the first key to every daemon.
func (s *site) expectStatus(when string, status int) {
	client := &http.Client{Timeout: 2 * time.Second}
	for _, d := range s.daemons {
		r := send(client, d.addr, newRequest(kindIdempotent, ""))
		qt.Check(s.t, r.status, qt.Equals, status, qt.Commentf("%s: %s", d.name, when))
	}
}
