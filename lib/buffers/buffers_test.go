package buffers

import (
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
)

// TestRefusedReservationsTakeRoom guards against reservations that don't fit and nevertheless take, for a moment, the
// room of others that do.
func TestRefusedReservationsTakeRoom(t *testing.T) {
	c := qt.New(t)
	const limit, large, small = 1 << 20, 600 << 10, 100
	b := New(limit, metrics.NewSet())
	c.Assert(b.ReserveBody(limit/2, 0), qt.IsNil)
	end := time.Now().Add(50 * time.Millisecond)
	var refused sync.WaitGroup
	for range 4 {
		refused.Go(func() {
			for time.Now().Before(end) {
				c.Check(b.ReserveHead(large, 0), qt.ErrorIs, ErrFull)
			}
		})
	}
	failed := 0
	for time.Now().Before(end) {
		if b.ReserveBody(small, 0) != nil {
			failed++
			continue
		}
		b.Release(small)
	}
	refused.Wait()
	c.Assert(failed, qt.Equals, 0)
}
