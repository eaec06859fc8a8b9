package planner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/state"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// fillDomain forms the groups that the target wants in addition to the healthy groups of the
// domain. Their members are the remaining members of a degraded group of the model, spare
// instances, and the remaining members of other degraded groups of the domain.
func (p *round) fillDomain(d models.Domain, target map[models.ModelName]int) {
	healthy := map[models.ModelName]int{}
	for _, g := range p.groups {
		if g.Domain == d && p.health[g.ID] == groupHealthy && !p.ended[g.ID] {
			healthy[g.Model]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(target)) {
		for range target[name] - healthy[name] {
			if p.starting[d] >= p.Rules.MaxStartingPerDomain || p.startingTotal >= p.Rules.MaxStarting {
				return
			}
			if !p.formGroup(d, p.State.Models[name]) {
				break
			}
			p.starting[d]++
			p.startingTotal++
		}
	}
}

// degradedGroups lists the degraded groups of a domain that this round hasn't ended. Groups
// of the model come first, then groups with more remaining members.
func (p *round) degradedGroups(d models.Domain, m models.ModelName) []models.Group {
	var out []models.Group
	for _, g := range p.groups {
		if g.Domain == d && p.health[g.ID] == groupDegraded && !p.ended[g.ID] {
			out = append(out, g)
		}
	}
	slices.SortStableFunc(out, func(a, b models.Group) int {
		return cmp.Or(
			compareFalseFirst(a.Model != m, b.Model != m),
			cmp.Compare(len(p.remainingMembers(b)), len(p.remainingMembers(a))),
		)
	})
	return out
}

// remainingMembers lists the members of a group that are alive and not leaving.
func (p *round) remainingMembers(g models.Group) []models.Member {
	var out []models.Member
	for _, m := range g.Members {
		if p.alive(m.ID) && !p.leaving(m.ID) {
			out = append(out, m)
		}
	}
	return out
}

// formGroup proposes a new group of the model in a domain. It reports whether it did: it
// doesn't if too few instances are available, or if the model has enough groups and none of
// its degraded groups is there to repair.
func (p *round) formGroup(d models.Domain, m models.Model) bool {
	next := models.Group{Model: m.Name, Version: m.Version, Zone: p.zones[d], Domain: d}
	form := state.FormGroup{ModelRevision: m.Revision, Reason: "its model wants more replicas"}
	donors := p.degradedGroups(d, m.Name)
	repairing := len(donors) > 0 && donors[0].Model == m.Name
	if !repairing && p.provisioned[m.Name] >= m.Replicas {
		return false
	}
	if repairing {
		form.Reason = p.reasons[donors[0].ID]
		next.Members = p.remainingMembers(donors[0])[:min(m.Members, len(p.remainingMembers(donors[0])))]
		form.Replaces = append(form.Replaces, groupRef(donors[0]))
		donors = donors[1:]
	}
	for _, i := range p.freeInstances(d, m) {
		if len(next.Members) < m.Members {
			next.Members = append(next.Members, memberOf(i))
		}
	}
	for _, donor := range slices.Backward(donors) {
		if len(next.Members) >= m.Members {
			break
		}
		form.Replaces = append(form.Replaces, groupRef(donor))
		for _, member := range p.remainingMembers(donor) {
			if len(next.Members) < m.Members {
				next.Members = append(next.Members, member)
			}
		}
	}
	if len(next.Members) < m.Members {
		return false
	}
	if !repairing || !p.withinRelocationGrace(p.State.Groups[form.Replaces[0].ID]) {
		p.provisioned[m.Name]++
	}
	next.ID = p.newGroupID(m.Name)
	form.Group = next
	for _, member := range next.Members {
		p.reserved[member.ID] = true
	}
	for _, ref := range form.Replaces {
		p.ended[ref.ID] = true
	}
	p.propose(d, form)
	return true
}

// newGroupID derives the ID of a new group from the offset of the state that it is planned
// on, so that all daemons choose the same ID.
func (p *round) newGroupID(m models.ModelName) models.GroupID {
	const maxModelNameLen = 40
	if len(m) > maxModelNameLen {
		m = m[:maxModelNameLen]
	}
	p.formed++
	return models.GroupID(fmt.Sprintf("%s-%d.%d", m, p.State.Applied+1, p.formed))
}

func memberOf(i models.Instance) models.Member {
	return models.Member{ID: i.ID, Addr: i.Addr, Accelerators: i.Accelerators, ChecksFences: i.ChecksFences}
}

// replaceLoadingMembers replaces a member that is still loading weights by a free instance
// that has already loaded them. If a member returns soon after it was replaced, its group is
// complete again at once, so replacing members early costs nothing.
func (p *round) replaceLoadingMembers() {
	for _, g := range p.groups {
		m, declared := p.State.Models[g.Model]
		if !declared || p.health[g.ID] != groupHealthy || p.allLoaded(g) {
			continue
		}
		rank := slices.IndexFunc(g.Members, func(member models.Member) bool {
			s := p.Evidence[member.ID].Status
			return s.Fence == g.Fence && s.Phase == types.PhaseLoading
		})
		if rank < 0 {
			continue
		}
		spares := p.freeInstances(g.Domain, m)
		if len(spares) == 0 || !p.Evidence[spares[0].ID].hasWeights(m) {
			continue
		}
		next := g
		next.ID = p.newGroupID(g.Model)
		next.Members = slices.Clone(g.Members)
		next.Members[rank] = memberOf(spares[0])
		p.reserved[spares[0].ID] = true
		p.ended[g.ID] = true
		p.starting[g.Domain]--
		p.propose(g.Domain, state.FormGroup{
			Group: next, ModelRevision: m.Revision, Replaces: []state.GroupRef{groupRef(g)},
			Reason: fmt.Sprintf("instance %s holds the weights already", spares[0].ID),
		})
	}
}
