package cluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

// largeOwner returns an owner with a number of instances, and with as many daemons as the largest
// production cluster.
func largeOwner(b *testing.B, instances int) *owner {
	n := New(Settings{ID: "d1", Zone: "z1", InstanceHeartbeat: time.Second, LeaseMin: time.Second}, noTraffic{}, metrics.NewSet(), zerolog.Nop())
	o := newOwner(n)
	o.ctx = b.Context()
	o.config.routing = &models.Routing{Services: map[models.ServiceName]models.UpstreamService{"s": {Engine: &models.EngineProfile{}}}}
	o.fleet.services = o.config.routing.Services
	for i := range 295 {
		o.peers.roster.Add(membership.Daemon{ID: models.DaemonID(fmt.Sprintf("d-%d", i)), Zone: models.Zone(fmt.Sprintf("z%d", i%5)), CPUCores: 0.2})
	}
	now := time.Now()
	for i := range instances {
		group, rank := i/8, i%8
		m := models.Membership{Key: models.GroupKey{Name: models.GroupID(fmt.Sprintf("m.%d", group)), Epoch: 1}, Rank: rank, State: models.MemberReady}
		if rank == 0 {
			m.State = models.MemberOpen
		}
		o.applyEntry(models.UpstreamInstance{ID: models.InstanceID(fmt.Sprintf("i-%08d", i)), Group: m, LoadedModel: "m", Service: "s"}, now)
	}
	return o
}

func BenchmarkUpdateFleetView(b *testing.B) {
	for _, instances := range []int{766, 3000} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			o := largeOwner(b, instances)
			for b.Loop() {
				o.fleetStale = true
				o.publish()
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	o := largeOwner(b, 766)
	o.publish()
	now := time.Now()
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		o.removeTimedOutPeers(now)
		o.updateTopology(now)
		o.answerSnapshotRequests(now)
		o.checkUnlisted(now)
	}
}

// BenchmarkMemberTick measures the periodic checks of a daemon that knows 3,064 instances.
func BenchmarkMemberTick(b *testing.B) {
	o := largeOwner(b, 3064)
	o.publish()
	for b.Loop() {
		o.tick(timer.Tick{At: time.Now()})
	}
}
