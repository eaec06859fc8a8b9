package cluster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSparseBeats checks that daemons which tell of themselves less often since
// they are many are not dropped in between, whatever their number: with just
// one more than few, the two ends once disagreed.
func TestSparseBeats(t *testing.T) {
	for _, others := range []int{ManyDaemons - 1, ManyDaemons, ManyDaemons + 1} {
		c := qt.New(t)
		o := newTestOwner(t)
		crowd(o, others, 7)
		every := beatEvery(o.n.View().Daemons)
		o.dropSilent(time.Now().Add((silentBeats - 1) * every))
		c.Check(o.peers.seen, qt.HasLen, others)
		o.dropSilent(time.Now().Add((silentBeats + 1) * every))
		c.Check(o.peers.seen, qt.HasLen, 0)
		c.Check(o.n.links.wait(), qt.IsNil)
	}
}
