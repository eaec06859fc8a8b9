package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
)

// TestHomes checks that a request runs only in regions that are homes of both its route and its
// workspace, where they have any, also when the daemon's own zone is no home, and that the last
// check before a send holds too.
func TestHomes(t *testing.T) {
	c := qt.New(t)
	node := newPickNode()
	node.clock = timer.New(time.Now())
	g := &Gateway{stop: newPlannedStop(), node: node, scheduler: newScheduler(), cfg: Settings{Zone: "a", Regions: map[models.Zone]models.Region{"a": "north", "b": "south", "c": "south"}}}
	g.scheduler.zone = "a"
	engine := &models.EngineProfile{Slots: 17, PrefillTokensPerSecond: 45900}
	for _, test := range []struct {
		route, workspace []models.Region
		want             string
	}{
		{nil, nil, "abc"},
		{[]models.Region{"north"}, nil, "a"},
		{[]models.Region{"south"}, nil, "bc"},
		{nil, []models.Region{"south"}, "bc"},
		{[]models.Region{"north", "south"}, []models.Region{"north"}, "a"},
		{[]models.Region{"north"}, []models.Region{"south"}, ""},
		{[]models.Region{"west"}, nil, ""},
	} {
		e := &exchange{g: g, service: "s", route: models.Route{Homes: test.route}, owner: models.KeyOwner{Homes: test.workspace}}
		e.zones = e.homeZones()
		groups, instances, sends := "", "", ""
		for _, zone := range []string{"a", "b", "c"} {
			var others []models.InstanceID
			for _, other := range []models.InstanceID{"a", "b", "c"} {
				if other != models.InstanceID(zone) {
					others = append(others, other)
				}
			}
			if _, _, found := g.scheduler.pickGroup(node, engine, groupCriteria{head: models.RequestHead{Model: "m"}, tried: others, zones: e.zones}); found {
				groups += zone
			}
			if _, found := g.scheduler.pickInstance(node, e.permittedInstances(), others); found {
				instances += zone
			}
			if e.checkAdmission(models.UpstreamInstance{Zone: models.Zone(zone)}, permit{}) == nil {
				sends += zone
			}
		}
		comment := qt.Commentf("%v %v", test.route, test.workspace)
		c.Assert(groups, qt.Equals, test.want, comment)
		c.Assert(instances, qt.Equals, test.want, comment)
		c.Assert(sends, qt.Equals, test.want, comment)
	}
}

// TestEvacuatedAfterPick checks that a request that was picked for a zone before the daemon learned
// of its evacuation is not sent there.
func TestEvacuatedAfterPick(t *testing.T) {
	c := qt.New(t)
	node := newPickNode()
	e := &exchange{g: &Gateway{node: node, stop: newPlannedStop()}}
	i := models.UpstreamInstance{ID: "a", Zone: "a"}
	c.Assert(e.checkAdmission(i, permit{}), qt.IsNil)
	node.view.Evacuated = map[models.Zone]bool{"a": true}
	c.Assert(e.checkAdmission(i, permit{}), qt.ErrorIs, errZoneEvacuated)
	c.Assert(e.checkAdmission(i, permit{}), qt.ErrorIs, errNotAdmitted)
}
