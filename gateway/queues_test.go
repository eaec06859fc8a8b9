package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/quarantine"
)

// queueNode is a fakeNode with one group whose other daemons' load can be changed, and which counts
// how often loads are read.
type queueNode struct {
	*fakeNode
	others, reads atomic.Int64
}

func (n *queueNode) PeersLoad(models.InstanceID) cluster.Load {
	n.reads.Add(1)
	return cluster.Load{Requests: int(n.others.Load())}
}

// queueFixture is a gateway with one group of one slot.
type queueFixture struct {
	*Gateway
	c    *qt.C
	node *queueNode
	logs bytes.Buffer
}

func newQueueFixture(t *testing.T) *queueFixture {
	engine := &models.EngineProfile{
		Slots: 1, StepTime: time.Millisecond, PrefillTokensPerSecond: 40000, StepsPerSend: 1, Models: []models.ModelProfile{{Name: "m", TimeFactor: 1}},
	}
	view := &cluster.View{
		Routing: &models.Routing{Services: map[models.ServiceName]models.UpstreamService{"s": {Engine: engine}}},
		Groups:  map[models.ServedModel][]cluster.Group{served("s"): {{Key: models.GroupKey{Name: "g"}, Service: "s", Head: models.UpstreamInstance{ID: "g1"}}}},
	}
	f := &queueFixture{c: qt.New(t), node: &queueNode{fakeNode: &fakeNode{view: view, clock: timer.New(time.Now())}}}
	f.Gateway = New(Settings{RetryWindow: time.Second}, f.node, newScheduler(), metrics.NewSet(), zerolog.New(zerolog.SyncWriter(&f.logs)))
	return f
}

// stream returns a stream that has just arrived.
func (f *queueFixture) stream(ctx context.Context, target time.Duration) *stream {
	now := time.Now()
	e := &exchange{
		g: f.Gateway, r: httptest.NewRequest("POST", "/", nil), service: "s", head: models.RequestHead{ID: "r", Model: "m"},
		route: models.Route{Kind: models.RouteStream, LatencyTarget: target, EventGapTarget: target}, started: now, deadline: now.Add(10 * time.Second),
	}
	e.digest = func() quarantine.Digest { return quarantine.Digest{} }
	return &stream{exchange: e, ctx: ctx}
}

// admitted is how awaitGroup ended.
type admitted struct {
	s    *stream
	dest target
	at   time.Time
	err  error
}

func (f *queueFixture) await(s *stream) <-chan admitted {
	done := make(chan admitted, 1)
	go func() {
		dest, err := s.awaitGroup()
		done <- admitted{s, dest, time.Now(), err}
	}()
	return done
}

// awaitWaiting waits until a number of streams wait.
func (f *queueFixture) awaitWaiting(n int64) {
	for range 1000 {
		if f.queues.waiting.Load() == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	f.c.Fatalf("%d streams wait, want %d", f.queues.waiting.Load(), n)
}

// TestWaitsWithoutPolling checks that nothing looks at loads while a stream waits and nothing
// changes, and that it goes on when one of the daemon's requests ends. Each waiting stream once
// looked every 20 ms.
func TestWaitsWithoutPolling(t *testing.T) {
	for name, prepare := range map[string]func(*stream){
		"queued": func(*stream) {}, "sent before": func(s *stream) { s.tried = []models.InstanceID{"g0"} },
	} {
		t.Run(name, func(t *testing.T) {
			f := newQueueFixture(t)
			f.node.others.Store(2)
			occupant := f.stream(t.Context(), time.Minute)
			attempt := occupant.newAttempt(target{group: f.node.view.Groups[served("s")][0]})
			s := f.stream(t.Context(), time.Minute)
			prepare(s)
			done := f.await(s)
			f.awaitWaiting(1)
			time.Sleep(20 * time.Millisecond)
			reads := f.node.reads.Load()
			time.Sleep(100 * time.Millisecond)
			f.c.Assert(f.node.reads.Load(), qt.Equals, reads)
			attempt.close()
			select {
			case got := <-done:
				f.c.Assert(got.err, qt.IsNil)
			case <-time.After(5 * time.Second):
				f.c.Fatal("the stream was not woken")
			}
			f.c.Assert(f.queues.waiting.Load(), qt.Equals, int64(0))
		})
	}
}

// TestWaitEndsByOtherLoads checks that a stream goes on after a tick if the load of other daemons
// has fallen.
func TestWaitEndsByOtherLoads(t *testing.T) {
	f := newQueueFixture(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ticker := task.Start(ctx, "queues", f.queues.run)
	f.node.others.Store(3)
	done := f.await(f.stream(t.Context(), time.Minute))
	f.awaitWaiting(1)
	f.node.others.Store(2)
	for n := range 100 {
		f.node.clock.Advance(time.Now().Add(time.Duration(n) * queueTickInterval))
		select {
		case got := <-done:
			f.c.Assert(got.err, qt.IsNil)
			cancel()
			f.c.Assert(task.Wait(ticker), qt.IsNil)
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
	f.c.Fatal("the stream was not woken")
}

// TestSlotIsGivenOnce checks that a slot that was given to a stream is not given to another one
// before the first one's load is counted. Two streams that looked at the same time once both got
// it.
func TestSlotIsGivenOnce(t *testing.T) {
	f := newQueueFixture(t)
	f.node.others.Store(2)
	first := f.stream(t.Context(), 100*time.Millisecond)
	dest, err := first.awaitGroup()
	f.c.Assert(err, qt.IsNil)
	_, err = f.stream(t.Context(), 100*time.Millisecond).awaitGroup()
	f.c.Assert(err, qt.ErrorIs, errAllFull)
	f.c.Assert(isNotRun(err), qt.IsTrue)
	attempt := first.newAttempt(dest)
	first.settleAdmission()
	attempt.close()
	_, err = f.stream(t.Context(), 100*time.Millisecond).awaitGroup()
	f.c.Assert(err, qt.IsNil)
}

// TestBegunStreamTakesFullGroup checks that a stream whose response has begun takes a full group at
// once, whatever waits.
func TestBegunStreamTakesFullGroup(t *testing.T) {
	f := newQueueFixture(t)
	f.node.others.Store(30)
	waiting := f.await(f.stream(t.Context(), time.Second))
	f.awaitWaiting(1)
	s := f.stream(t.Context(), time.Minute)
	s.headSent, s.lastEvent, s.tried = true, time.Now(), []models.InstanceID{"g0"}
	_, err := s.awaitGroup()
	f.c.Assert(err, qt.IsNil)
	f.c.Assert((<-waiting).err, qt.ErrorIs, errAllFull)
}

// TestCapacityIsPredicted checks that, with a known base latency, slots at which a request would be
// late do not count as in time, and that the slots beyond a group's own count only if they are in
// time.
func TestCapacityIsPredicted(t *testing.T) {
	f := newQueueFixture(t)
	engine := *f.node.view.Routing.Services["s"].Engine
	engine.Slots, engine.StepTimePerRequest = 10, 10*time.Millisecond
	criteria := groupCriteria{head: models.RequestHead{Model: "m"}, service: "s"}
	capacity := func(within time.Duration) [3]int {
		c := f.scheduler.capacity(f.node, &engine, criteria, horizon(within))
		return [3]int{int(c.FirstEvent.Milliseconds()), c.SlotsInTime, c.Slots}
	}
	f.node.others.Store(3)
	f.c.Assert(capacity(time.Second), qt.Equals, [3]int{0, 9, 9}, qt.Commentf("slots + 2 without a base"))
	f.scheduler.observeBase(served("s"), 100*time.Millisecond)
	// Each running request adds 23.5 ms, and first events may be late by a tenth of the target.
	f.c.Assert(capacity(2*time.Second), qt.Equals, [3]int{172, 9, 9})
	f.c.Assert(capacity(400*time.Millisecond), qt.Equals, [3]int{172, 7, 7})
	f.c.Assert(capacity(200*time.Millisecond), qt.Equals, [3]int{172, 1, 7})
	f.c.Assert(capacity(170*time.Millisecond), qt.Equals, [3]int{172, 0, 7})
	f.c.Assert(capacity(100*time.Millisecond), qt.Equals, [3]int{172, 9, 9}, qt.Commentf("late at any load"))
	// The wait for a slot of a full group is the queue's.
	f.node.others.Store(12)
	f.c.Assert(capacity(time.Second), qt.Equals, [3]int{314, 0, 0})
}

// TestRejectionIsReported checks that a rejection is logged with what it was decided by, that the
// caller gets the decision's Retry-After, and that waits and verdicts are counted.
func TestRejectionIsReported(t *testing.T) {
	f := newQueueFixture(t)
	f.scheduler.observeBase(served("s"), 300*time.Millisecond)
	f.node.others.Store(3)
	s := f.stream(t.Context(), 100*time.Millisecond)
	w := httptest.NewRecorder()
	s.w = w
	_, err := s.awaitGroup()
	f.c.Assert(err, qt.ErrorIs, errRejected)
	f.c.Assert(isNotRun(err), qt.IsTrue)
	f.c.Assert(s.pickedLoad, qt.Equals, 3)
	s.reject(err)
	f.c.Assert(w.Code, qt.Equals, 503)
	f.c.Assert(w.Header().Get("Retry-After"), qt.Equals, fmt.Sprintf("%.2f", s.rejected.RetryAfter.Seconds()))
	f.c.Assert(f.logs.String(), qt.Matches, `(?s).*"reason":"late","rank":0,.*"predicted":30\d.*"age":0,.*"message":"request-rejected".*`)

	// A wait of over an eighth of the target.
	f.node.others.Store(2)
	occupant := f.stream(t.Context(), time.Minute).newAttempt(target{group: f.node.view.Groups[served("s")][0]})
	done := f.await(f.stream(t.Context(), 900*time.Millisecond))
	f.awaitWaiting(1)
	time.Sleep(20 * time.Millisecond)
	var text bytes.Buffer
	f.set.WritePrometheus(&text)
	f.c.Assert(text.String(), qt.Contains, `lupinkeel_queue_length{model="m"} 1`)
	occupant.close()
	f.c.Assert((<-done).err, qt.IsNil)
	f.set.WritePrometheus(&text)
	f.c.Assert(text.String(), qt.Contains, `lupinkeel_queue_length{model="m"} 0`)
	f.c.Assert(text.String(), qt.Contains, `lupinkeel_admissions_total{verdict="reject",reason="late"} 1`)
	f.c.Assert(text.String(), qt.Contains, `lupinkeel_admissions_total{verdict="run",reason=""} 1`)
	f.c.Assert(text.String(), qt.Contains, `lupinkeel_admissions_total{verdict="wait",reason=""} 1`)
	f.c.Assert(text.String(), qt.Contains, `lupinkeel_queue_wait_seconds_count{model="m"} 1`)
}

// TestConcurrentWaits checks that no waiting stream and no slot is lost when many streams wait, are
// cancelled, are rejected and end at the same time.
func TestConcurrentWaits(t *testing.T) {
	f := newQueueFixture(t)
	f.scheduler.observeBase(served("s"), 5*time.Millisecond)
	var all sync.WaitGroup
	var ran, over atomic.Int64
	for n := range 200 {
		all.Go(func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			time.Sleep(time.Duration(n) * 500 * time.Microsecond)
			// Far longer than all of them take, so that the machine's load does not reject them.
			s := f.stream(ctx, 30*time.Second)
			if n%5 == 0 {
				time.AfterFunc(2*time.Millisecond, cancel)
			}
			dest, err := s.awaitGroup()
			if err != nil {
				if !isNotRun(err) && !errors.Is(err, context.Canceled) {
					over.Add(1)
				}
				s.close()
				return
			}
			s.startAttempt(dest)
			if f.scheduler.totalLoad(f.node, "g1").Requests > 3 {
				over.Add(1)
			}
			ran.Add(1)
			time.Sleep(time.Millisecond)
			s.close()
		})
	}
	all.Wait()
	f.c.Assert(f.queues.waiting.Load(), qt.Equals, int64(0))
	f.c.Assert(over.Load(), qt.Equals, int64(0))
	f.c.Assert(ran.Load() >= 160, qt.IsTrue, qt.Commentf("%d ran", ran.Load()))
	f.c.Assert(f.scheduler.Loads(), qt.HasLen, 0)
	for _, gq := range f.queues.byKey {
		f.c.Assert(gq.unsent, qt.Equals, 0)
		f.c.Assert(gq.queue.Len(), qt.Equals, 0)
	}
}
