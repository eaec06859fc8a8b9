package standin

import (
	"container/heap"
	"context"
	"sync"
)

// slotQueue grants an engine's slots by priority, and in order of arrival among equal priorities.
type slotQueue struct {
	mu       sync.Mutex
	slots    int
	running  int
	arrivals int
	waiting  waiterHeap
}

type waiter struct {
	priority  int
	seq       int
	granted   chan struct{}
	cancelled bool
}

func newSlotQueue(slots int) *slotQueue { return &slotQueue{slots: max(slots, 1)} }

func (q *slotQueue) acquire(ctx context.Context, priority int) error {
	q.mu.Lock()
	q.arrivals++
	w := &waiter{priority: priority, seq: q.arrivals, granted: make(chan struct{})}
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
		w.cancelled = true
	}
	return ctx.Err()
}

func (q *slotQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.grant()
}

// grant gives free slots to waiters. The caller holds the lock.
func (q *slotQueue) grant() {
	for q.running < q.slots && len(q.waiting) > 0 {
		w := heap.Pop(&q.waiting).(*waiter)
		if w.cancelled {
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

type waiterHeap []*waiter

func (w waiterHeap) Len() int      { return len(w) }
func (w waiterHeap) Swap(i, j int) { w[i], w[j] = w[j], w[i] }
func (w *waiterHeap) Push(x any)   { *w = append(*w, x.(*waiter)) }

func (w waiterHeap) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].seq < w[j].seq
}

func (w *waiterHeap) Pop() any {
	old := *w
	last := old[len(old)-1]
	*w = old[:len(old)-1]
	return last
}
