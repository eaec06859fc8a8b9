package cluster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

// TestEvacuatedZone checks that requests leave a zone once a daemon has read the evacuation from the
// store, or was told of it by a heartbeat, and come back once it is lifted. A daemon that was cut
// off does not bring an evacuation back.
func TestEvacuatedZone(t *testing.T) {
	c := qt.New(t)
	reader, other := newTestOwner(t), newTestOwner(t)
	now := time.Now()
	for _, o := range []*owner{reader, other} {
		t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
		o.config.routing = &models.Routing{}
		for _, zone := range []models.Zone{"a", "b"} {
			key := models.GroupKey{Name: models.GroupID("m." + string(zone)), Epoch: 1}
			o.applyEntry(models.UpstreamInstance{ID: models.InstanceID("head-" + zone), Zone: zone, Service: "engines", Group: models.Membership{Key: key, State: models.MemberOpen}}, now)
			o.applyEntry(models.UpstreamInstance{ID: models.InstanceID("plain-" + zone), Zone: zone, Service: "plain"}, now)
		}
		o.fleet.services = map[models.ServiceName]models.UpstreamService{"engines": {Engine: &models.EngineProfile{}}, "plain": {}}
		o.config.routing.Services = o.fleet.services
		o.publish()
	}
	serving := func(o *owner) (zones []models.Zone) {
		for _, g := range o.n.View().Groups[served("engines")] {
			zones = append(zones, g.Head.Zone)
		}
		for _, i := range o.n.View().Services["plain"] {
			zones = append(zones, i.Zone)
		}
		return zones
	}
	record := func(offset int64, value string) platform.KeyedRecord {
		return platform.KeyedRecord{Key: "evacuate/a", Value: []byte(value), Position: models.Position{Offset: offset}}
	}
	read := func(o *owner, end int64, snapshot bool, records ...platform.KeyedRecord) {
		o.handleConfigRead(toConfigRead(readResult{records: records, end: models.Position{Offset: end}, requestedAt: now}, snapshot), now)
	}
	tell := func(from, to *owner, name models.DaemonID) {
		v := from.n.View()
		to.handleHeartbeat(heartbeatReceived{heartbeat: Heartbeat{From: name, Addr: "127.0.0.1:9", Evacuated: v.evacuated, OperatorsEnd: v.operatorsEnd}, receivedAt: now})
	}
	c.Assert(serving(reader), qt.HasLen, 4)

	read(reader, 3, true, record(2, "{}"))
	c.Assert(serving(reader), qt.DeepEquals, []models.Zone{"b", "b"})
	c.Assert(serving(other), qt.HasLen, 4)
	tell(reader, other, "reader")
	c.Assert(serving(other), qt.DeepEquals, []models.Zone{"b", "b"})

	read(reader, 4, false, record(3, ""))
	c.Assert(serving(reader), qt.HasLen, 4)
	tell(reader, other, "reader")
	c.Assert(serving(other), qt.HasLen, 4)
	stale := newTestOwner(t)
	read(stale, 3, true, record(2, "{}"))
	tell(stale, other, "stale")
	c.Assert(serving(other), qt.HasLen, 4)
}
