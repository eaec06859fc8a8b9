// Package buffers bounds the bytes that requests hold together.
package buffers

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// ErrFull is returned if requests and responses hold as many bytes as they may.
var ErrFull = errors.New("too many bytes of requests and responses are held")

const (
	// SmallHolder is how many bytes a holder may have and still count as a small one. The last part of the
	// budget, a smallFraction of it, is for these.
	SmallHolder   = 16 << 10
	smallFraction = 1.0 / 16
	// reclaimWait is how long a reservation waits for bytes that are about to be released, reclaimPoll how
	// often it looks for them.
	reclaimWait = 100 * time.Millisecond
	reclaimPoll = 5 * time.Millisecond
)

// Budget bounds the bytes of requests and buffered responses that a daemon holds at once.
// Callers or upstreams that are slow to read or send without end can't make it run out of memory. It is
// safe for concurrent use.
type Budget struct {
	// limit is the maximum number of bytes; 0 sets none.
	limit    int64
	held     atomic.Int64
	rejected *metrics.Counter
	// reclaim, if set, makes a holder release its bytes soon. It reports whether there is one.
	reclaim func() bool
}

// New returns a budget of limit bytes; 0 sets no limit.
func New(limit int64, set *metrics.Set) *Budget {
	b := &Budget{limit: limit, rejected: set.NewCounter("lupinkeel_buffer_refusals_total")}
	set.NewGauge("lupinkeel_buffered_bytes", func() float64 { return float64(b.Held()) })
	return b
}

// SetReclaim sets a function that makes a holder release its bytes soon, and reports whether there is one that
// can. It is called when a reservation does not fit, and must be set before the first one.
func (b *Budget) SetReclaim(f func() bool) { b.reclaim = f }

// Held returns the number of bytes that are held.
func (b *Budget) Held() int64 { return b.held.Load() }

// reserve reserves n bytes if that leaves a number of them free.
func (b *Budget) reserve(n int, free int64) bool {
	for {
		held := b.held.Load()
		if b.limit != 0 && held+int64(n) > b.limit-free {
			return false
		}
		if b.held.CompareAndSwap(held, held+int64(n)) {
			return true
		}
	}
}

// reserveOrReclaim reserves n bytes for a holder if that leaves a number of them free. If it does not, other holders
// are made to release theirs, unless that would not be enough.
func (b *Budget) reserveOrReclaim(n, holds int, free int64) error {
	tooMany := int64(holds+n)+free > b.limit
	for end := time.Now().Add(reclaimWait); !b.reserve(n, free); time.Sleep(reclaimPoll) {
		if b.reclaim == nil || tooMany || time.Now().After(end) || !b.reclaim() {
			b.rejected.Inc()
			return ErrFull
		}
	}
	return nil
}

// ReserveBody reserves n bytes for a request's body that holds some already. The last part of the budget is for
// small ones.
func (b *Budget) ReserveBody(n, holds int) error {
	free := int64(0)
	if holds+n > SmallHolder {
		free = int64(smallFraction * float64(b.limit))
	}
	return b.reserveOrReclaim(n, holds, free)
}

// ReserveHead reserves n bytes for a request's head that holds some already. One that is not small may hold as much
// as is then free, so that few that hold much leave room for many that hold little.
func (b *Budget) ReserveHead(n, holds int) error {
	free := int64(0)
	if holds+n > SmallHolder {
		free = int64(holds + n)
	}
	return b.reserveOrReclaim(n, holds, free)
}

// ReserveShare reserves n bytes for a response that holds some already. It is not to hold more than what is then
// free, so that few that hold much leave room for many that hold little.
func (b *Budget) ReserveShare(n, holds int) error {
	if !b.reserve(n, int64(holds+n)) {
		b.rejected.Inc()
		return ErrFull
	}
	return nil
}

// Release releases n bytes.
func (b *Budget) Release(n int) { b.held.Add(int64(-n)) }

// Reader reserves the bytes that are read, and adds them to Holds.
type Reader struct {
	R      io.Reader
	Budget *Budget
	Holds  *int
	// IsResponse is set for responses, of which upstreams may send any number of bytes. Callers' bodies
	// are bounded by the configuration.
	IsResponse bool
}

// Read reads and reserves. It returns ErrFull if what was read can't be held.
func (r Reader) Read(p []byte) (int, error) {
	n, err := r.R.Read(p)
	switch {
	case n == 0:
		return n, err
	case r.IsResponse:
		if full := r.Budget.ReserveShare(n, *r.Holds); full != nil {
			return 0, full
		}
	default:
		if full := r.Budget.ReserveBody(n, *r.Holds); full != nil {
			return 0, full
		}
	}
	*r.Holds += n
	return n, err
}
