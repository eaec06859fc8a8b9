package soak

import (
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/standin/store"
)

// evacuationBound is how soon an evacuation must be in force: the daemons' bound for configurations
// and a second for requests on their way.
const evacuationBound = 2 * time.Second

// TestEvacuation checks that no request reaches the instances of an evacuated zone, at daemons that
// were stopped, killed or frozen meanwhile too, and that requests come back once the evacuation is
// lifted.
func TestEvacuation(t *testing.T) {
	s, c := startLoadedSite(t, binary(t))
	s.pool.Evacuate("za", evacuationBound)
	time.Sleep(time.Second)
	s.daemons[0].kill()
	s.daemons[0].start(t)
	s.daemons[1].signal(syscall.SIGSTOP)
	s.pool.Evacuate("zb", evacuationBound+2*time.Second)
	time.Sleep(2 * time.Second)
	s.daemons[1].signal(syscall.SIGCONT)
	time.Sleep(evacuationBound)
	s.pool.EndEvacuation("za")
	lifted := time.Now()
	for end := lifted.Add(3 * time.Second); s.pool.ArrivalsSince("za", lifted) == 0 && time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
	}
	qt.Check(t, s.pool.ArrivalsSince("za", lifted) > 0, qt.IsTrue, qt.Commentf("no request reached za after the evacuation was lifted"))
	c.stop()
	violations := append(s.pool.Violations(), c.violations()...)
	qt.Check(t, violations, qt.HasLen, 0, qt.Commentf("%s", strings.Join(violations, "\n")))
	t.Log(c.summary())
}

// TestEvacuationBeforeOutage checks that an evacuation that was written right before the store went
// away holds at daemons that had read it, and at one that starts after the store is back.
func TestEvacuationBeforeOutage(t *testing.T) {
	s, c := startLoadedSite(t, binary(t))
	s.pool.Evacuate("za", evacuationBound)
	time.Sleep(500 * time.Millisecond)
	s.store.SetFaults(store.Faults{Busy: true})
	time.Sleep(3 * time.Second)
	s.daemons[2].kill()
	s.store.SetFaults(store.Faults{})
	s.daemons[2].start(t)
	time.Sleep(2 * time.Second)
	c.stop()
	violations := append(s.pool.Violations(), c.violations()...)
	qt.Check(t, violations, qt.HasLen, 0, qt.Commentf("%s", strings.Join(violations, "\n")))
}

// TestColdInstances checks that instances which become cold get no more requests than they bear,
// from all daemons together, while daemons are killed and frozen, and that callers are still served.
func TestColdInstances(t *testing.T) {
	bin := binary(t)
	for _, test := range []struct {
		name     string
		service  models.ServiceName
		fraction float64
	}{{"half_of_plain", "plain", 0.5}, {"all_plain", "plain", 1}, {"all_engines", "engines", 1}} {
		t.Run(test.name, func(t *testing.T) {
			const coldRate, coldTime = 1, 6 * time.Second
			s, c := startLoadedSite(t, bin)
			for _, i := range s.selectInstances(test.service, test.fraction) {
				i.SetCold(coldTime, coldRate, propagationTime)
			}
			time.Sleep(propagationTime)
			s.daemons[0].kill()
			s.daemons[0].start(t)
			s.daemons[1].signal(syscall.SIGSTOP)
			time.Sleep(1500 * time.Millisecond)
			s.daemons[1].signal(syscall.SIGCONT)
			time.Sleep(coldTime - propagationTime)
			recovered := c.waitRecovered()
			qt.Check(t, recovered, qt.IsTrue, qt.Commentf("callers are not served once the instances are warm"))
			c.stop()
			violations := append(s.pool.Violations(), c.violations()...)
			qt.Check(t, violations, qt.HasLen, 0, qt.Commentf("%s", strings.Join(violations, "\n")))
			t.Log(c.summary())
		})
	}
}
