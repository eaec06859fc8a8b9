package planner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/state"
)

// Rules are the bounds that the planner works with.
type Rules struct {
	// ReplaceAfter is how long a group waits for a missing member.
	ReplaceAfter time.Duration
	// Bound is the age beyond which evidence counts for nothing.
	Bound time.Duration
}

// Input is what one round of planning sees.
type Input struct {
	State *state.State
	// Instances is the platform's list.
	Instances map[models.InstanceID]models.Instance
	Evidence  map[models.InstanceID]Evidence
	Now       time.Time
	Rules     Rules
}

// Proposal is a record that should be appended.
type Proposal struct {
	Body state.Body
	// Key is what the order of turn is taken from.
	Key string
}

// Plan returns what should change. The same input gives the same proposals,
// names of new groups included, so that two daemons that plan on the same
// state do not form two groups.
func Plan(in Input) []Proposal {
	p := &round{Input: in, taken: map[models.InstanceID]bool{}}
	p.endGroups()
	p.repairGroups()
	p.formGroups()
	return p.proposals
}

// round is one round of planning.
type round struct {
	Input
	proposals []Proposal
	// taken are the instances that a proposal of this round uses.
	taken  map[models.InstanceID]bool
	formed int
}

func (p *round) propose(d models.Domain, body state.Body) {
	p.proposals = append(p.proposals, Proposal{Body: body, Key: string(d)})
}

// present reports whether the instance answers and can take work.
func (p *round) present(id models.InstanceID) bool {
	e, known := p.Evidence[id]
	return known && e.Silent == 0 && p.Now.Sub(e.Seen) <= p.Rules.Bound
}

func (p *round) leaving(id models.InstanceID) bool {
	_, drained := p.State.Drained[id]
	return drained || p.Instances[id].Leaving || p.Evidence[id].Status.Leaving
}

// missing lists the members that have been away for longer than a group
// waits.
func (p *round) missing(g models.Group) []models.InstanceID {
	var out []models.InstanceID
	for _, m := range g.Members {
		e, watched := p.Evidence[m.ID]
		if watched && !p.present(m.ID) && e.Away(p.Now) > p.Rules.ReplaceAfter {
			out = append(out, m.ID)
		}
	}
	return out
}

func (p *round) groups() []models.Group {
	return slices.SortedFunc(maps.Values(p.State.Groups), func(a, b models.Group) int {
		return cmp.Compare(a.Fence, b.Fence)
	})
}

// endGroups retires the groups that the configuration does not want, and
// ends those that have become quiet.
func (p *round) endGroups() {
	count := map[models.ModelName]int{}
	for _, g := range p.groups() {
		why := p.unwanted(g, count)
		switch {
		case why == "":
			count[g.Model]++
		case g.Retiring == 0:
			p.propose(g.Domain, state.RetireGroup{Group: refTo(g), Reason: why})
		case p.quiet(g):
			p.propose(g.Domain, state.EndGroup{Group: refTo(g), Reason: why})
		}
	}
}

func refTo(g models.Group) state.GroupRef { return state.GroupRef{ID: g.ID, Fence: g.Fence} }

func (p *round) unwanted(g models.Group, count map[models.ModelName]int) string {
	m, declared := p.State.Models[g.Model]
	switch {
	case g.Retiring != 0:
		return "it was retired"
	case !declared:
		return "its model is not declared any more"
	case m.Version != g.Version:
		return fmt.Sprintf("its model now serves version %s", m.Version)
	case len(g.Members) != m.Members:
		return fmt.Sprintf("its model now takes %d members", m.Members)
	case !m.Place.Allows(g.Zone, g.Domain):
		return "its model may not stand there any more"
	case count[g.Model] >= m.Replicas:
		return fmt.Sprintf("its model now wants %d replicas", m.Replicas)
	}
	return ""
}

// quiet reports whether every member that answers runs nothing.
func (p *round) quiet(g models.Group) bool {
	for _, m := range g.Members {
		if p.present(m.ID) && p.Evidence[m.ID].Status.InFlight > 0 {
			return false
		}
	}
	return true
}

// repairGroups replaces missing members by spares of the same fabric domain
// and ends groups that find none.
func (p *round) repairGroups() {
	for _, g := range p.groups() {
		if g.Retiring != 0 || p.unwanted(g, nil) != "" {
			continue
		}
		missing := p.missing(g)
		if len(missing) == 0 {
			continue
		}
		spares := p.free(g.Domain)
		if len(spares) < len(missing) {
			p.propose(g.Domain, state.EndGroup{Group: refTo(g), Reason: fmt.Sprintf("member %s is missing and fabric domain %s has no spare", missing[0], g.Domain)})
			continue
		}
		p.repair(g, missing, spares)
	}
}

func (p *round) repair(g models.Group, missing []models.InstanceID, spares []models.Instance) {
	next := g
	next.ID = p.newName(g.Model)
	next.Members = nil
	for _, m := range g.Members {
		if slices.Contains(missing, m.ID) {
			m = memberOf(spares[0])
			spares = spares[1:]
			p.taken[m.ID] = true
		}
		next.Members = append(next.Members, m)
	}
	p.propose(g.Domain, state.FormGroup{
		Group: next, ModelRevision: p.State.Models[g.Model].Revision,
		Replaces: []state.GroupRef{refTo(g)},
		Reason:   fmt.Sprintf("member %s is missing", missing[0]),
	})
}

// newName names a group by the state that it was planned on.
func (p *round) newName(m models.ModelName) models.GroupID {
	const longestModel = 40
	if len(m) > longestModel {
		m = m[:longestModel]
	}
	p.formed++
	return models.GroupID(fmt.Sprintf("%s-%d.%d", m, p.State.Applied+1, p.formed))
}

func memberOf(i models.Instance) models.Member {
	return models.Member{ID: i.ID, Addr: i.Addr, Accelerators: i.Accelerators, ChecksFences: i.ChecksFences}
}

// free lists the engines of a fabric domain that belong to no group and can
// take work.
func (p *round) free(d models.Domain) []models.Instance {
	var out []models.Instance
	for _, i := range p.Instances {
		_, owned := p.State.Owner(i.ID)
		if i.Kind != models.KindEngine || i.Domain != d || owned || p.taken[i.ID] || p.leaving(i.ID) || !p.present(i.ID) {
			continue
		}
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b models.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// formGroups forms groups for models that have fewer than they want.
func (p *round) formGroups() {
	have := p.wantedGroups()
	for _, name := range slices.Sorted(maps.Keys(p.State.Models)) {
		m := p.State.Models[name]
		for range m.Replicas - have[name] {
			if !p.form(m) {
				break
			}
		}
	}
}

// wantedGroups counts the groups of each model that are to stay.
func (p *round) wantedGroups() map[models.ModelName]int {
	have := map[models.ModelName]int{}
	for _, g := range p.State.Groups {
		if p.unwanted(g, nil) == "" {
			have[g.Model]++
		}
	}
	return have
}

func (p *round) form(m models.Model) bool {
	for _, d := range p.domains() {
		free := p.free(d)
		free = slices.DeleteFunc(free, func(i models.Instance) bool { return !m.Place.Allows(i.Zone, i.Domain) })
		if len(free) < m.Members {
			continue
		}
		g := models.Group{ID: p.newName(m.Name), Model: m.Name, Version: m.Version, Zone: free[0].Zone, Domain: d}
		for _, i := range free[:m.Members] {
			g.Members = append(g.Members, memberOf(i))
			p.taken[i.ID] = true
		}
		p.propose(d, state.FormGroup{Group: g, ModelRevision: m.Revision, Reason: "its model wants more replicas"})
		return true
	}
	return false
}

func (p *round) domains() []models.Domain {
	seen := map[models.Domain]bool{}
	for _, i := range p.Instances {
		seen[i.Domain] = true
	}
	return slices.Sorted(maps.Keys(seen))
}
