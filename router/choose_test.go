package router_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/planner"
	"github.com/lupinkeel/lupinkeel/router"
	"github.com/lupinkeel/lupinkeel/state"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

func idle(netip.AddrPort) int { return 0 }

func genPlace(t *rapid.T, label string) models.PlacementRule {
	zones := rapid.SliceOfDistinct(rapid.SampledFrom([]models.Zone{"z0", "z1", "z2"}), rapid.ID).Draw(t, label+" zones")
	domains := rapid.SliceOfDistinct(rapid.SampledFrom([]models.Domain{"d0", "d1", "d2"}), rapid.ID).Draw(t, label+" domains")
	return models.PlacementRule{Zones: zones, Domains: domains}
}

// TestChooseGroupRespectsPlacementRules checks for random configurations and requests that
// the chosen group is open and allowed by all placement rules.
func TestChooseGroupRespectsPlacementRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		s := state.New()
		versions := []models.Version{"v1", "v2"}
		model := models.Model{Name: "m", Version: rapid.SampledFrom(versions).Draw(t, "version"), Placement: genPlace(t, "model")}
		s.Models["m"] = model
		w := models.Workspace{Name: "w", Placement: genPlace(t, "workspace")}
		rule := models.ModelRule{Model: "m", Version: rapid.SampledFrom([]models.Version{"", "v1", "v2"}).Draw(t, "pinned")}
		w.Models = []models.ModelRule{rule}
		table := router.Table{State: s, Gates: map[models.GroupID]planner.Gate{}}
		for n := range rapid.IntRange(0, 8).Draw(t, "groups") {
			id := models.GroupID(fmt.Sprintf("g%d", n))
			s.Groups[id] = models.Group{
				ID: id, Model: "m", Version: rapid.SampledFrom(versions).Draw(t, "group version"),
				Zone:    rapid.SampledFrom([]models.Zone{"z0", "z1", "z2"}).Draw(t, "zone"),
				Domain:  rapid.SampledFrom([]models.Domain{"d0", "d1", "d2"}).Draw(t, "domain"),
				Members: []models.Member{{ID: "i", Addr: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(n+1))}},
			}
			open := now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "open")) * time.Second)
			table.Gates[id] = planner.Gate{OpenUntil: open}
		}
		prompt := router.Prompt{Prefix: rapid.Uint64().Draw(t, "prefix"), SeenBefore: rapid.Bool().Draw(t, "seen")}
		target, err := table.ChooseGroup(w, "m", prompt, now, idle, nil)
		if err != nil {
			return
		}
		g := target.Group
		if !model.Placement.Allows(g.Zone, g.Domain) || !w.Placement.Allows(g.Zone, g.Domain) || !w.AllowsModel("m", g.Version) || !table.Gates[g.ID].Open(now) {
			t.Fatalf("sent to %+v", g)
		}
	})
}

// TestPrefixAffinity checks that prompts with the same prefix go to the same group until its
// utilization is much higher than that of another.
func TestPrefixAffinity(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := state.New()
	s.Models["m"] = models.Model{Name: "m", Version: "v1"}
	w := models.Workspace{Name: "w", Models: []models.ModelRule{{Model: "m"}}}
	table := router.Table{State: s, Gates: map[models.GroupID]planner.Gate{}, Capacity: map[models.GroupID]int{}}
	for n := range 4 {
		id := models.GroupID(fmt.Sprintf("g%d", n))
		addr := netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(n+1))
		s.Groups[id] = models.Group{ID: id, Model: "m", Version: "v1", Members: []models.Member{{ID: "i", Addr: addr}}}
		table.Gates[id] = planner.Gate{OpenUntil: now.Add(time.Second), Load: types.Load{Slots: 8}}
		table.Capacity[id] = 12
	}
	prompt := router.Prompt{Prefix: 7, SeenBefore: true}
	first, err := table.ChooseGroup(w, "m", prompt, now, idle, nil)
	c.Assert(err, qt.IsNil)
	inFlightAtFirst := func(n int) router.InFlightFunc {
		return func(a netip.AddrPort) int {
			if a == first.Addr {
				return n
			}
			return 0
		}
	}
	for n, same := range map[int]bool{2: true, 3: false, 12: false} {
		next, err := table.ChooseGroup(w, "m", prompt, now, inFlightAtFirst(n), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(next.Addr == first.Addr, qt.Equals, same, qt.Commentf("with %d in flight", n))
	}
	full := func(netip.AddrPort) int { return 12 }
	_, err = table.ChooseGroup(w, "m", prompt, now, full, nil)
	c.Assert(err, qt.ErrorIs, router.ErrOverloaded)
}
