package cluster

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestMassSuspicion checks that suspected groups get no requests, but that all groups are used if
// too many of a model are suspected. After a restart of all daemons a fifth of the requests was
// rejected for fourteen seconds, presumably because different groups were suspected in turn, as was
// observed for half a second in another case.
func TestMassSuspicion(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.config.routing = &models.Routing{}
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	const groups = 10
	key := func(n int) models.GroupKey {
		return models.GroupKey{Name: models.GroupID(fmt.Sprintf("m.%d", n)), Epoch: int64(n)}
	}
	head := func(n int) models.InstanceID { return models.InstanceID(fmt.Sprintf("i-%d", n)) }
	for n := range groups {
		group := models.Membership{Key: key(n), State: models.MemberOpen}
		o.applyEntry(models.UpstreamInstance{ID: head(n), Group: group}, time.Now())
	}
	shown := func() (serving, suspects int) {
		o.publish()
		v := o.n.View()
		return len(v.Groups[served("")]), len(v.Suspects)
	}
	for n := range 4 {
		o.handleStalled(stallDetected{group: key(n), head: head(n), from: "d2"})
		serving, suspects := shown()
		c.Assert(serving, qt.Equals, groups-n-1)
		c.Assert(suspects, qt.Equals, n+1)
	}
	o.handleStalled(stallDetected{group: key(4), head: head(4), from: "d2"})
	serving, suspects := shown()
	c.Assert(serving, qt.Equals, groups)
	c.Assert(suspects, qt.Equals, 0)
}
