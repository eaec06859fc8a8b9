package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lupinkeel/lupinkeel/admission"
	"github.com/lupinkeel/lupinkeel/models"
)

// queueTickInterval is how often waiting requests are decided again because loads of other daemons
// may have arrived. Relays send totals every 50 ms, which is also the step of the clock.
const queueTickInterval = 50 * time.Millisecond

// queues holds the streams that wait for groups. Waits end by decisions, which are made when a
// request arrives, when one of the daemon's own ends, on ticks, and at the times that earlier
// decisions name. It is safe for concurrent use.
type queues struct {
	g *Gateway
	// waiting is the number of waiting streams, in queues or not.
	waiting atomic.Int64

	mu          sync.Mutex
	random      *rand.Rand
	byKey       map[queueKey]*groupQueue
	completions map[models.ServedModel]*decayingRate
	lastID      uint64
	// waiters are the streams that wait for any change and are in no queue.
	waiters map[*waiter]struct{}
}

// queueKey identifies a queue: requests that may use different groups compete for different slots.
type queueKey struct {
	served models.ServedModel
	// homes are those of the request, empty if all zones may run it.
	homes string
}

// groupQueue is the queue of the requests that may use the same groups.
type groupQueue struct {
	key     queueKey
	zones   zoneFilter
	queue   *admission.Queue
	streams map[uint64]*queuedStream
	// unsent is the number of admitted requests that are not included in loads yet.
	unsent int
	// capacity is what the last decision was made by.
	capacity groupsCapacity
}

// queuedStream is a stream in a queue.
type queuedStream struct {
	id uint64
	// target is the latency target of its route.
	target time.Duration
	// verdict receives Run or Reject, once. next ends when the request is to be decided again.
	verdict chan admission.Verdict
	next    *time.Timer
}

// waiter is a stream that waits for any change.
type waiter struct{ changed chan struct{} }

func newQueues(g *Gateway) *queues {
	return &queues{
		g: g, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), byKey: map[queueKey]*groupQueue{},
		completions: map[models.ServedModel]*decayingRate{}, waiters: map[*waiter]struct{}{},
	}
}

// queueKey returns the key of the stream's queue.
func (s *stream) queueKey() queueKey {
	key := queueKey{served: s.servedModel()}
	if s.zones != nil {
		key.homes = fmt.Sprintf("%q %q", s.route.Homes, s.owner.Homes)
	}
	return key
}

// join adds a stream to its queue and decides the queue. It returns false if no group may run the
// stream now, so that it has no slot to wait for.
func (q *queues) join(s *stream) (*groupQueue, *queuedStream, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	key := s.queueKey()
	gq := q.byKey[key]
	if gq == nil {
		gq = &groupQueue{key: key, zones: s.zones, queue: admission.NewQueue(admission.DefaultPolicy()), streams: map[uint64]*queuedStream{}}
	}
	due := s.started.Add(s.route.LatencyTarget)
	if q.refresh(gq, s.route.LatencyTarget); gq.capacity.groups == 0 {
		return gq, nil, false
	}
	if q.byKey[key] == nil {
		q.byKey[key] = gq
		q.addGauge(key.served.Model)
	}
	q.lastID++
	// The verdict replaces the timer's first time.
	w := &queuedStream{id: q.lastID, target: s.route.LatencyTarget, verdict: make(chan admission.Verdict, 1), next: time.NewTimer(time.Hour)}
	gq.streams[w.id] = w
	q.waiting.Add(1)
	gq.queue.Add(admission.Request{
		ID: w.id, Arrived: s.started, Due: due, Deadline: s.deadline, Rank: rank(s.owner.Priority, s.route.Priority),
	})
	q.decide(gq)
	return gq, w, true
}

// refresh updates the capacity of a queue's groups. target is the latency target of a request that
// is not in the queue yet.
func (q *queues) refresh(gq *groupQueue, target time.Duration) {
	gq.capacity = groupsCapacity{}
	routing := q.g.node.View().Routing
	if routing == nil || routing.Services[gq.key.served.Service].Engine == nil {
		return
	}
	now := time.Now()
	for _, w := range gq.streams {
		target = max(target, w.target)
	}
	criteria := groupCriteria{head: models.RequestHead{Model: gq.key.served.Model}, service: gq.key.served.Service, zones: gq.zones}
	c := q.g.scheduler.capacity(q.g.node, routing.Services[gq.key.served.Service].Engine, criteria, horizon(target))
	c.Slots, c.SlotsInTime = max(0, c.Slots-gq.unsent), max(0, c.SlotsInTime-gq.unsent)
	// A daemon knows only its own completions; those that decide by the same loads have as many.
	c.Completions = q.completions[gq.key.served].decayed(now) * float64(c.Deciders)
	gq.capacity = c
}

// decide decides the requests of a queue by its capacity, which was just refreshed.
func (q *queues) decide(gq *groupQueue) {
	for _, d := range gq.queue.Decide(time.Now(), gq.capacity.Capacity, q.random) {
		w := gq.streams[d.ID]
		switch v := d.Verdict.(type) {
		case admission.Wait:
			w.next.Reset(time.Until(v.Until))
			continue
		case admission.Run:
			gq.unsent++
		}
		q.forget(gq, w)
		w.verdict <- d.Verdict
	}
}

// forget removes a stream that does not wait any more.
func (q *queues) forget(gq *groupQueue, w *queuedStream) {
	if _, waits := gq.streams[w.id]; waits {
		delete(gq.streams, w.id)
		w.next.Stop()
		q.waiting.Add(-1)
	}
}

// leave removes a stream whose caller is gone from its queue. It returns a slot that the stream was
// given meanwhile.
func (q *queues) leave(gq *groupQueue, w *queuedStream) {
	q.mu.Lock()
	defer q.mu.Unlock()
	gq.queue.Remove(w.id)
	q.forget(gq, w)
	select {
	case v := <-w.verdict:
		if _, runs := v.(admission.Run); runs {
			gq.unsent--
		}
	default:
	}
}

// settle ends an admission: the request is included in loads, or was not sent.
func (q *queues) settle(gq *groupQueue) {
	q.mu.Lock()
	defer q.mu.Unlock()
	gq.unsent--
}

// redecide decides a queue again.
func (q *queues) redecide(gq *groupQueue) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.redecideLocked(gq)
}

func (q *queues) redecideLocked(gq *groupQueue) {
	if len(gq.streams) > 0 {
		q.refresh(gq, 0)
		q.decide(gq)
	}
}

// requestEnded is called after a request of the daemon's has ended at a group of the model.
func (q *queues) requestEnded(model models.ServedModel) {
	q.mu.Lock()
	rate := q.completions[model]
	if rate == nil {
		rate = &decayingRate{}
		q.completions[model] = rate
	}
	rate.add(time.Now())
	q.mu.Unlock()
	q.redecideAll()
}

// redecideAll decides all queues again and wakes the streams that wait for any change.
func (q *queues) redecideAll() {
	if q.waiting.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, gq := range q.byKey {
		q.redecideLocked(gq)
	}
	for w := range q.waiters {
		select {
		case w.changed <- struct{}{}:
		default:
		}
	}
}

// watch adds a stream that waits for any change. It must be removed with unwatch.
func (q *queues) watch() *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := &waiter{make(chan struct{}, 1)}
	q.waiters[w] = struct{}{}
	q.waiting.Add(1)
	return w
}

func (q *queues) unwatch(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiters, w)
	q.waiting.Add(-1)
}

// run decides waiting requests on ticks until the context ends, since loads of other daemons may
// have arrived. Without waiting requests ticks do nothing.
func (q *queues) run(ctx context.Context) error {
	ticks := q.g.node.Clock().Subscribe(queueTickInterval)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
			q.redecideAll()
		}
	}
}

// addGauge adds the gauge of a model's queue length. The number of models is bounded: queues are
// created only for models that groups serve.
func (q *queues) addGauge(model models.ModelName) {
	q.g.set.GetOrCreateGauge(fmt.Sprintf("lupinkeel_queue_length{model=%q}", string(model)), func() float64 { return float64(q.length(model)) })
}

// length returns the number of requests in the queues of a model.
func (q *queues) length(model models.ModelName) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for key, gq := range q.byKey {
		if key.served.Model == model {
			n += len(gq.streams)
		}
	}
	return n
}

// queueWait returns the histogram of the times that admitted requests of a model waited.
func (q *queues) queueWait(model models.ModelName) *metrics.Histogram {
	return q.g.set.GetOrCreateHistogram(fmt.Sprintf("lupinkeel_queue_wait_seconds{model=%q}", string(model)))
}

// capacityOf returns what the queue's last decision was made by.
func (q *queues) capacityOf(gq *groupQueue) groupsCapacity {
	q.mu.Lock()
	defer q.mu.Unlock()
	return gq.capacity
}

// verdictCounter counts the verdicts of queues.
type verdictCounter struct{ set *metrics.Set }

// count counts a verdict. The reason is empty unless requests are rejected.
func (c verdictCounter) count(verdict, reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("lupinkeel_admissions_total{verdict=%q,reason=%q}", verdict, reason)).Inc()
}
