package cluster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestMissedNews checks that a daemon that hears from the planner reads the
// store for itself as soon as it may have missed something: news that were
// dropped, or a new planner. Hunted days of sbcc-lupinkeel (trouble-1, seeds
// 1010924599747 and 848935819920) sent requests to an instance over 2 s after
// it said that it leaves.
func TestMissedNews(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	news := func(term, feed int64, draining bool) {
		o.handleNews(newsSeen{term: term, feed: feed, at: time.Now(), instances: []InstanceNews{
			{Instance: models.UpstreamInstance{ID: "i-1", Draining: draining}},
		}})
	}
	news(1, 1, false)
	c.Assert(o.n.fedLately(), qt.IsFalse)
	news(1, 2, false)
	c.Assert(o.n.fedLately(), qt.IsTrue)
	o.n.missedNews.Store(false)
	news(1, 4, false)
	c.Assert(o.n.fedLately(), qt.IsFalse)
	c.Assert(o.n.entriesEvery(), qt.Equals, time.Duration(0))
	news(1, 5, false)
	c.Assert(o.n.fedLately(), qt.IsTrue)
	c.Assert(o.n.entriesEvery(), qt.Equals, time.Duration(0), qt.Commentf("the next news don't bring what was missed"))
	news(2, 1, true)
	c.Assert(o.n.fedLately(), qt.IsFalse)
	c.Assert(o.fleet.instances["i-1"].Draining, qt.IsTrue)
	news(1, 6, false)
	c.Assert(o.fleet.instances["i-1"].Draining, qt.IsTrue)
	c.Assert(o.n.fedLately(), qt.IsFalse)
}

// TestNewsInOne checks that what the planner learns within some ms is told at
// once: in a play of grown sbcc all 89 others missed news ten times in 20 s, as
// each of a dozen reports was told by itself, and read the store.
func TestNewsInOne(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.handleLease(leaseHeld{term: 5, until: time.Now().Add(time.Minute)})
	now := time.Now()
	for range 2 * newsLen {
		o.spread(InstanceNews{Instance: models.UpstreamInstance{ID: "i-1"}})
		o.flushNews(now)
	}
	c.Assert(o.fleet.feed, qt.Equals, int64(1))
	o.flushNews(now.Add(time.Second))
	c.Assert(o.fleet.feed, qt.Equals, int64(2))
	c.Assert(o.fleet.news, qt.HasLen, 0)
}

// TestGoneAfterReport checks that an instance of which a daemon first hears by
// what it told the planner is dropped when the planner reads that its entry is
// gone, also if it asked the store just before it asked the instance: kept, it
// would get requests until the daemon reads all entries again.
func TestGoneAfterReport(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	now := time.Now()
	news := InstanceNews{Instance: models.UpstreamInstance{ID: "i-1"}}
	o.noteNews(news, now, now)
	c.Assert(o.fleet.instances["i-1"], qt.IsNotNil)
	news.Gone = true
	o.noteNews(news, now.Add(-10*time.Millisecond), now)
	c.Assert(o.fleet.instances["i-1"], qt.IsNil)
}
