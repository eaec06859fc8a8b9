package cluster

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/fleet"
	"github.com/lupinkeel/lupinkeel/models"
)

// TestUsableSlots checks that a rate limit that is not reached withholds no slots.
func TestUsableSlots(t *testing.T) {
	c := qt.New(t)
	engine := &models.EngineProfile{Slots: 10}
	c.Assert(usableSlots(engine, models.NoRateLimit, 3), qt.Equals, 10)
	c.Assert(usableSlots(engine, 20, 3), qt.Equals, 10)
	c.Assert(usableSlots(engine, 1.5, 0), qt.Equals, 2)
	c.Assert(usableSlots(engine, 1.5, 6), qt.Equals, 6)
	c.Assert(usableSlots(engine, 1.5, 14), qt.Equals, 10)
}

// TestSupplyLogKeys checks that the supply lines keep the keys that operators parse, and have those
// that explain the split.
func TestSupplyLogKeys(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	var out bytes.Buffer
	o.n.log = zerolog.New(&out)
	now := time.Now()
	o.handleLease(leaseHeld{term: 1, until: now.Add(time.Minute)})
	engine := &models.EngineProfile{Slots: 10, Models: []models.ModelProfile{{Name: "m", GroupSize: 2, Share: 1}}}
	out.Reset()
	o.planService("engines", engine, now)
	for _, key := range strings.Fields("model size groups in-flight demand work instances lost rate target reached late base length held " +
		"forming ending staging loading free orders questions calls-most conversions-begun conversions-completed conversions-given-up") {
		c.Check(out.String(), qt.Contains, `"`+key+`":`)
	}
	c.Check(out.String(), qt.Contains, `"held":"demand-unknown"`)
}

// TestConversionsAreCounted checks that the counters grow by the conversions of a round, not by
// those of the whole term.
func TestConversionsAreCounted(t *testing.T) {
	c := qt.New(t)
	s := newTestOwner(t).n.stats
	s.countConversions(fleet.ConversionCounts{}, fleet.ConversionCounts{Begun: 3})
	s.countConversions(fleet.ConversionCounts{Begun: 3}, fleet.ConversionCounts{Begun: 4, Completed: 2, GivenUp: 1})
	c.Assert([]uint64{s.conversionsBegun.Get(), s.conversionsCompleted.Get(), s.conversionsGivenUp.Get()}, qt.DeepEquals, []uint64{4, 2, 1})
}
