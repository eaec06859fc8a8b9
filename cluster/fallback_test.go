package cluster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

// TestFallbackLoad checks that the reads of all daemons whose relays send nothing stay below the same
// rate, whatever the number of daemons and instances.
func TestFallbackLoad(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	for _, size := range []struct{ daemons, instances int }{{61, 165}, {986, 3064}, {1972, 6128}} {
		instances := map[models.InstanceID]models.UpstreamInstance{}
		for n := range size.instances {
			instances[models.InstanceID(rune(n))] = models.UpstreamInstance{}
		}
		o.n.view.Store(&View{Topology: &membership.Topology{Size: size.daemons}, Instances: instances})
		read := 0
		for n := range size.daemons {
			o.n.fallbackDraw = float64(n) / float64(size.daemons)
			if o.n.fallbackDelay(o.n.entriesBytes()) < time.Second {
				read += o.n.entriesBytes()
			}
		}
		c.Check(read <= fallbackBytesPerSecond+o.n.entriesBytes(), qt.IsTrue, qt.Commentf("%d daemons read %d bytes in the first second", size.daemons, read))
	}
}
