package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// storeLatency is the time that the simulated store takes for a call, slowStoreLatency the same of
	// a store that is slow.
	storeLatency     = 4 * time.Millisecond
	slowStoreLatency = 10 * storeLatency
	// startSpread is the time within which all machines start.
	startSpread = 300 * time.Millisecond
	// settleTime is how long a daemon that has registered waits before it reads the roster again.
	settleTime = 150 * time.Millisecond
	// fluxInterval is how long after its first read a daemon reads the roster again, if daemons were
	// registering then.
	fluxInterval = 2 * time.Second
	// maxEntriesRead is the number of roster entries that a daemon may read at a start, whatever the
	// number of daemons.
	maxEntriesRead = 300
)

// fleetStart simulates how daemons find each other by the store's roster.
type fleetStart struct {
	*simulation
	// latency is the time that the store takes for a call.
	latency time.Duration
	// registeredAt is when each daemon's entry became readable.
	registeredAt map[models.DaemonID]time.Time
	// read counts the entries that each daemon has read, calls its calls to the store.
	read, calls map[models.DaemonID]int
}

// event is something that a daemon does at a time.
type event struct {
	at time.Time
	do func(now time.Time)
}

// TestFirstStart checks that the number of roster entries and calls of a daemon at a start does not
// grow with the number of daemons, that topologies are complete 4 s after it, and that relays know
// how many daemons there are. When all daemons registered, each read one entry for every daemon.
func TestFirstStart(t *testing.T) {
	for _, size := range []struct {
		perZone, strong int
		latency         time.Duration
	}{
		{3, 0, storeLatency}, {20, 2, storeLatency}, {20, 0, storeLatency}, {200, 10, storeLatency}, {200, 0, storeLatency},
		{200, 0, slowStoreLatency}, {400, 10, storeLatency},
	} {
		t.Run(fmt.Sprintf("%d-%d-%v", size.perZone, size.strong, size.latency), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := newFleetStart(c, size.perZone, size.strong, size.latency)
			s.startAll(rand.New(rand.NewPCG(uint64(size.perZone), uint64(size.strong))), true)
			for range int(4 * time.Second / step) {
				s.step()
			}
			s.check(5 * size.perZone)
			c.Logf("%d daemons: %d registered, at most %d entries and %d calls a daemon", 5*size.perZone, len(s.registeredAt), s.most(s.read), s.most(s.calls))
		})
	}
}

// TestRestartOfAll checks the same where all daemons were killed and start again.
func TestRestartOfAll(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newFleetStart(c, 200, 10, storeLatency)
	random := rand.New(rand.NewPCG(1, 1))
	s.startAll(random, true)
	s.exec("run", []string{"3s"})
	s.exec("kill", []string{"all"})
	s.exec("run", []string{"1s"})
	s.startAll(random, false)
	s.exec("run", []string{"3s"})
	s.check(1000)
}

func newFleetStart(c *qt.C, perZone, strong int, latency time.Duration) *fleetStart {
	s := &fleetStart{
		latency:      latency,
		simulation:   &simulation{c: c, now: time.Unix(1_000_000, 0), byID: map[models.DaemonID]*daemon{}, cut: map[models.Zone]bool{}, granted: map[models.Zone][]float64{}},
		registeredAt: map[models.DaemonID]time.Time{},
	}
	for _, zone := range []models.Zone{"a", "b", "c", "d", "e"} {
		s.add(zone, perZone, strong)
	}
	return s
}

// startAll starts all daemons. Each reads the roster, and registers if it has to.
func (s *fleetStart) startAll(random *rand.Rand, firstStart bool) {
	s.read, s.calls = map[models.DaemonID]int{}, map[models.DaemonID]int{}
	var events []event
	add := func(at time.Time, do func(time.Time)) { events = append(events, event{at, do}) }
	for _, d := range s.daemons {
		d.up, d.lastSent = true, map[models.DaemonID]time.Time{}
		d.roster = membership.NewRoster(d.Daemon, membership.DefaultPolicy())
		pause := time.Duration(random.Float64() * float64(startSpread))
		if firstStart {
			pause += membership.DefaultPolicy().RegistrationPause(d.CPUCores, random.Float64())
		}
		add(s.now.Add(pause+s.latency), func(now time.Time) { s.register(d, now, firstStart, add) })
	}
	for len(events) > 0 {
		first := 0
		for i, e := range events {
			if e.at.Before(events[first].at) {
				first = i
			}
		}
		e := events[first]
		events = slices.Delete(events, first, first+1)
		s.now = e.at
		e.do(e.at)
	}
	for _, d := range s.daemons {
		d.topology, d.topologyAt = d.roster.Topology(s.now), s.now
	}
}

// register registers a daemon if it has to, and lets it read who registered at the same time or
// later.
func (s *fleetStart) register(d *daemon, now time.Time, inFlux bool, add func(time.Time, func(time.Time))) {
	s.readRoster(d, now)
	_, listed := s.registeredAt[d.ID]
	mustRegister := listed || d.roster.ShouldRegister(now)
	if inFlux || mustRegister {
		add(now.Add(fluxInterval), func(now time.Time) { s.readRoster(d, now) })
	}
	if !mustRegister {
		return
	}
	s.calls[d.ID]++
	if !listed {
		s.registeredAt[d.ID] = now.Add(s.latency)
	}
	d.roster.SetRegistered(true)
	add(now.Add(settleTime), func(now time.Time) { s.readRoster(d, now) })
}

// readRoster reads the entries that the daemon does not know.
func (s *fleetStart) readRoster(d *daemon, now time.Time) {
	s.calls[d.ID]++
	for id, at := range s.registeredAt {
		if id != d.ID && !at.After(now) && !d.roster.Knows(id) {
			s.read[d.ID]++
			d.roster.AddRegistered(s.byID[id].Daemon)
		}
	}
}

func (s *fleetStart) check(daemons int) {
	const maxCalls = 4
	s.c.Check(s.most(s.read) <= maxEntriesRead, qt.IsTrue, qt.Commentf("a daemon read %d entries", s.most(s.read)))
	s.c.Check(s.most(s.calls) <= maxCalls, qt.IsTrue, qt.Commentf("a daemon made %d calls", s.most(s.calls)))
	s.checkReach()
	s.checkLoads()
	for _, d := range s.daemons {
		s.c.Assert(d.topology.Size, qt.Equals, daemons, qt.Commentf("%s", d.ID))
		s.c.Assert(d.topology.ZoneSize, qt.Equals, daemons/5, qt.Commentf("%s", d.ID))
	}
}

// most returns the highest count of any daemon.
func (s *fleetStart) most(counts map[models.DaemonID]int) int {
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	return most
}
