package planner

import (
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/state"
)

// rolloutDivisor bounds how many groups of a model may retire at the same time when its
// version or group size changes: its replicas divided by rolloutDivisor, but at least one.
const rolloutDivisor = 4

// retireUnwanted retires unwanted groups, so that they finish their requests, and ends them
// once they are idle. A changed model is rolled out a few groups at a time; groups with a
// leaving member are retired at once.
func (p *round) retireUnwanted() {
	retiring := map[models.ModelName]int{}
	for _, g := range p.groups {
		if g.Retiring != 0 {
			retiring[g.Model]++
		}
	}
	for _, g := range p.groups {
		if p.health[g.ID] != groupUnwanted {
			continue
		}
		reason := p.reasons[g.ID]
		m, declared := p.State.Models[g.Model]
		rolling := declared && p.unwantedReason(g) != "" && m.Placement.Allows(g.Zone, g.Domain)
		switch {
		case g.Retiring != 0 && p.idle(g):
			p.ended[g.ID] = true
			p.propose(g.Domain, state.EndGroup{Group: groupRef(g), Reason: reason})
		case g.Retiring != 0:
		case rolling && retiring[g.Model] >= max(1, m.Replicas/rolloutDivisor):
		default:
			retiring[g.Model]++
			p.propose(g.Domain, state.RetireGroup{Group: groupRef(g), Reason: reason})
		}
	}
}

func groupRef(g models.Group) state.GroupRef { return state.GroupRef{ID: g.ID, Fence: g.Fence} }

// endSurplus retires healthy groups that exceed the target, and ends degraded groups whose
// model reaches its number of replicas without them.
func (p *round) endSurplus(target Target) {
	healthy := map[models.Domain]map[models.ModelName]int{}
	for _, g := range p.groups {
		if p.ended[g.ID] {
			continue
		}
		switch p.health[g.ID] {
		case groupHealthy:
			if healthy[g.Domain] == nil {
				healthy[g.Domain] = map[models.ModelName]int{}
			}
			healthy[g.Domain][g.Model]++
			if healthy[g.Domain][g.Model] > target[g.Domain][g.Model] {
				p.propose(g.Domain, state.RetireGroup{Group: groupRef(g), Reason: "its model has enough replicas, or its instances are of more use elsewhere"})
			}
		case groupDegraded:
			if target.total(g.Model) >= p.State.Models[g.Model].Replicas {
				p.propose(g.Domain, state.EndGroup{Group: groupRef(g), Reason: p.reasons[g.ID] + " and its model has enough replicas without it"})
			}
		}
	}
}
