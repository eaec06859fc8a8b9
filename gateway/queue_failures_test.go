package gateway

import (
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/admission"
	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
)

// awaitEnd returns how a wait ended, and fails the test if it does not end.
func (f *queueFixture) awaitEnd(name string, done <-chan admitted) admitted {
	f.c.Helper()
	select {
	case got := <-done:
		return got
	case <-time.After(5 * time.Second):
		f.c.Fatalf("%s still waits", name)
		return admitted{}
	}
}

// TestSuspendedWithWaitingRequests guards against a daemon that wakes from a suspension and decides
// its waiting requests by the time at which they arrived. Slots have become free meanwhile: it must
// nevertheless reject those whose deadline is past, as not run, and send the others.
func TestSuspendedWithWaitingRequests(t *testing.T) {
	f := newQueueFixture(t)
	f.scheduler.observeBase(served("s"), 20*time.Millisecond)
	f.node.others.Store(3)
	waiting := map[string]<-chan admitted{}
	for name, deadline := range map[string]time.Duration{"past": 600 * time.Millisecond, "past too": 700 * time.Millisecond, "in time": time.Minute} {
		s := f.stream(t.Context(), 4*time.Second)
		s.deadline = s.started.Add(deadline)
		waiting[name] = f.await(s)
	}
	f.awaitWaiting(3)
	// No decision is made while the daemon is suspended.
	f.queues.mu.Lock()
	time.Sleep(800 * time.Millisecond)
	f.node.others.Store(0)
	f.queues.mu.Unlock()
	f.queues.redecideAll()
	for _, name := range []string{"past", "past too"} {
		got := f.awaitEnd(name, waiting[name])
		f.c.Check(got.err, qt.ErrorIs, errRejected, qt.Commentf("%s", name))
		f.c.Check(got.err, qt.ErrorIs, admission.ErrDeadline, qt.Commentf("%s", name))
		f.c.Check(isNotRun(got.err), qt.IsTrue, qt.Commentf("%s", name))
		f.c.Check(got.s.current, qt.IsNil, qt.Commentf("%s was sent", name))
		f.c.Check(got.s.admittedBy, qt.IsNil, qt.Commentf("%s holds a slot", name))
	}
	inTime := f.awaitEnd("in time", waiting["in time"])
	f.c.Check(inTime.err, qt.IsNil)
	f.c.Check(inTime.s.admittedBy, qt.Not(qt.IsNil))
	inTime.s.close()
	f.c.Check(f.queues.waiting.Load(), qt.Equals, int64(0))
	for _, gq := range f.queues.byKey {
		f.c.Check(gq.unsent, qt.Equals, 0)
		f.c.Check(gq.queue.Len(), qt.Equals, 0)
	}
}

// zonesNode is a fakeNode whose view and loads change while streams wait.
type zonesNode struct {
	*fakeNode
	mu    sync.Mutex
	now   cluster.View
	loads map[models.InstanceID]int
}

func (n *zonesNode) View() *cluster.View {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := n.now
	return &v
}

func (n *zonesNode) PeersLoad(id models.InstanceID) cluster.Load {
	n.mu.Lock()
	defer n.mu.Unlock()
	return cluster.Load{Requests: n.loads[id]}
}

// evacuate removes a zone's groups from the view, as a daemon does that learns of its evacuation.
func (n *zonesNode) evacuate(zone models.Zone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now.Evacuated = map[models.Zone]bool{zone: true}
	n.now.Groups = map[models.ServedModel][]cluster.Group{served("s"): slices.DeleteFunc(slices.Clone(n.now.Groups[served("s")]), func(g cluster.Group) bool {
		return g.Head.Zone == zone
	})}
}

// free frees all slots of a group.
func (n *zonesNode) free(head models.InstanceID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.loads, head)
}

// newZonesFixture returns a fixture with a full group of one slot in each of the zones.
func newZonesFixture(t *testing.T, zones ...models.Zone) (*queueFixture, *zonesNode) {
	f := newQueueFixture(t)
	n := &zonesNode{fakeNode: f.node.fakeNode, now: *f.node.view, loads: map[models.InstanceID]int{}}
	var groups []cluster.Group
	for _, zone := range zones {
		head := models.UpstreamInstance{ID: models.InstanceID("head-" + zone), Zone: zone}
		groups = append(groups, cluster.Group{Key: models.GroupKey{Name: models.GroupID("m." + zone)}, Service: "s", Head: head})
		n.loads[head.ID] = 3
	}
	n.now.Groups = map[models.ServedModel][]cluster.Group{served("s"): groups}
	f.Gateway.node = n
	return f, n
}

// TestEvacuationDuringBurst guards against waiting requests that are sent to a zone that was
// evacuated while they waited, or that wait for its slots for ever. The slots of the evacuated zone
// become free first.
func TestEvacuationDuringBurst(t *testing.T) {
	for name, test := range map[string]struct {
		zones []models.Zone
		// most and least bound the requests that run.
		least, most int
	}{
		"another zone":  {[]models.Zone{"a", "b"}, 1, 3},
		"no other zone": {[]models.Zone{"a"}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f, n := newZonesFixture(t, test.zones...)
			var waiting []<-chan admitted
			for range 6 {
				waiting = append(waiting, f.await(f.stream(t.Context(), 2*time.Second)))
			}
			f.awaitWaiting(6)
			n.evacuate("a")
			n.free("head-a")
			f.queues.redecideAll()
			n.free("head-b")
			f.queues.redecideAll()
			ran := 0
			for _, done := range waiting {
				got := f.awaitEnd("a request", done)
				if got.err != nil {
					f.c.Check(isNotRun(got.err), qt.IsTrue, qt.Commentf("%v", got.err))
					continue
				}
				ran++
				f.c.Check(got.dest.group.Head.Zone, qt.Equals, models.Zone("b"))
			}
			f.c.Check(ran >= test.least && ran <= test.most, qt.IsTrue, qt.Commentf("%d ran", ran))
			f.c.Check(f.queues.waiting.Load(), qt.Equals, int64(0))
		})
	}
}
