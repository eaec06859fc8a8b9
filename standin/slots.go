package standin

import (
	"container/heap"
	"context"
	"sync"
)

// slotQueue hands out an engine's slots, highest priority first and in
// order of arrival among equals.
type slotQueue struct {
	mu      sync.Mutex
	slots   int
	running int
	arrived int
	waiting waiters
}

type waiter struct {
	priority int
	arrived  int
	granted  chan struct{}
	gone     bool
}

func newSlotQueue(slots int) *slotQueue { return &slotQueue{slots: max(slots, 1)} }

func (q *slotQueue) acquire(ctx context.Context, priority int) error {
	q.mu.Lock()
	q.arrived++
	w := &waiter{priority: priority, arrived: q.arrived, granted: make(chan struct{})}
	heap.Push(&q.waiting, w)
	q.grant()
	q.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-w.granted:
		q.running--
		q.grant()
	default:
		w.gone = true
	}
	return ctx.Err()
}

func (q *slotQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.grant()
}

// grant gives free slots to those who wait. The caller holds the lock.
func (q *slotQueue) grant() {
	for q.running < q.slots && len(q.waiting) > 0 {
		w := heap.Pop(&q.waiting).(*waiter)
		if w.gone {
			continue
		}
		q.running++
		close(w.granted)
	}
}

func (q *slotQueue) counts() (running, queued int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting)
}

type waiters []*waiter

func (w waiters) Len() int      { return len(w) }
func (w waiters) Swap(i, j int) { w[i], w[j] = w[j], w[i] }
func (w *waiters) Push(x any)   { *w = append(*w, x.(*waiter)) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].arrived < w[j].arrived
}

func (w *waiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	*w = old[:len(old)-1]
	return last
}
