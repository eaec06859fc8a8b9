package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/standin/store"
)

// restore makes the store unavailable for a moment and restores it from a snapshot.
func (s *site) restore(c store.Snapshot) {
	s.store.SetFaults(store.Faults{Busy: true})
	time.Sleep(300 * time.Millisecond)
	s.store.Restore(c)
	s.store.SetFaults(store.Faults{})
}

// reconfigure writes the newest configuration again.
func (s *site) reconfigure(key string) {
	s.store.Put("op", "config", fmt.Appendf(nil, configText, s.version, key))
}

// TestRevokedKeyAfterRestore checks that a restore of the store from a snapshot that still has a
// revoked key doesn't make the key valid again, and that the new key stays valid, before the
// operator writes the configuration again. Both must hold at daemons that keep running and at a
// daemon that is started after the restore. The proof that the keys are current expires meanwhile.
func TestRevokedKeyAfterRestore(t *testing.T) {
	c := qt.New(t)
	s := startSite(t, binary(t), t.TempDir(), "--strict-keys=true")
	s.waitServing()
	snapshot := s.store.Snapshot()
	const newKey = "k2"
	s.configureKeys(newKey)
	time.Sleep(time.Second)
	s.restore(snapshot)
	s.daemons[0].kill()
	s.daemons[0].start(t)
	client := &http.Client{Timeout: time.Second}
	check := func(when string, served bool) {
		for _, d := range s.daemons {
			revoked := send(client, d.addr, newRequest(kindIdempotent, ""))
			c.Assert(revoked.status, qt.Not(qt.Equals), http.StatusOK, qt.Commentf("%s serves a revoked key %s", d.name, when))
			good := sendWithKey(client, d.addr, newRequest(kindIdempotent, ""), newKey)
			c.Assert(good.status == http.StatusOK || !served, qt.IsTrue, qt.Commentf("%s responds %d to a valid key %s", d.name, good.status, when))
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

// TestRestore checks that a site survives two restores of the store within seconds, with instances
// added and drained just before, a daemon stopped and started in between, and finally a restore
// with all daemons killed: callers see no error, no instance records a violation, and service
// recovers within seconds.
func TestRestore(t *testing.T) {
	s := startSite(t, binary(t), t.TempDir())
	s.waitServing()
	c := startCallers(s)
	snapshot := s.store.Snapshot()
	for _, i := range s.pool.Instances()[:3] {
		i.Drain()
		s.add("engines", i.Domain)
	}
	time.Sleep(time.Second)
	s.restore(snapshot)
	qt.Check(t, s.daemons[1].stop(), qt.IsNil)
	s.daemons[1].start(t)
	time.Sleep(time.Second)
	snapshot = s.store.Snapshot()
	s.configure()
	s.add("engines", "a")
	time.Sleep(500 * time.Millisecond)
	s.restore(snapshot)
	s.reconfigure(firstKey)
	started := time.Now()
	qt.Check(t, c.waitRecovered(), qt.IsTrue)
	t.Logf("recovered %v after the second restore", time.Since(started).Round(100*time.Millisecond))

	snapshot = s.store.Snapshot()
	for _, d := range s.daemons {
		d.kill()
	}
	s.restore(snapshot)
	for _, d := range s.daemons {
		d.start(t)
	}
	started = time.Now()
	qt.Check(t, c.waitRecovered(), qt.IsTrue)
	t.Logf("recovered %v after the third restore with all daemons killed", time.Since(started).Round(100*time.Millisecond))
	c.stop()
	time.Sleep(300 * time.Millisecond)
	qt.Check(t, append(s.pool.Violations(), c.violations()...), qt.HasLen, 0)
	t.Log(c.summary())
}
