package planner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/state"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// Rules are the bounds that the planner works with.
type Rules struct {
	// ReplaceAfter is how long a group waits for a missing member. Waiting
	// is short, because a member that comes back while its replacement
	// still loads is taken back: see swapBack.
	ReplaceAfter time.Duration
	// Bound is the age beyond which evidence counts for nothing.
	Bound time.Duration
	// MaxUnsettled is how many groups may be on their way to serving, in
	// all, and MaxUnsettledDomain in one fabric domain.
	MaxStarting          int
	MaxStartingPerDomain int
	// MaxLoads is how many instances may load weights at once.
	MaxLoads int
}

// DefaultRules returns the rules for a wait and a bound.
func DefaultRules(replaceAfter, bound time.Duration) Rules {
	return Rules{ReplaceAfter: replaceAfter, Bound: bound, MaxStarting: 64, MaxStartingPerDomain: 8, MaxLoads: 128}
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
	// Key is what the order of turn is taken from: the fabric domain.
	Key string
}

// Plan returns what should change. The same input gives the same proposals,
// names of new groups included, so that two daemons that plan on the same
// state do not form two groups.
func Plan(in Input) []Proposal {
	p := newRound(in)
	p.retireUnwanted()
	p.replaceLoadingMembers()
	target := assign(p.supplies(), p.wantedModels(), in.State.Policy)
	for _, d := range p.domains {
		p.fillDomain(d, target[d])
	}
	p.endSurplus(target)
	return p.proposals
}

// health is how a group is doing.
type groupHealth uint8

const (
	// healthWhole: every member is there, or has been away for less time
	// than a group waits.
	groupHealthy groupHealth = iota
	// healthBroken: a member is missing.
	groupDegraded
	// healthUnwanted: the configuration or a leaving member ends the group.
	groupUnwanted
)

// round is one round of planning.
type round struct {
	Input
	domains []models.Domain
	zones   map[models.Domain]models.Zone
	// engines lists each domain's engines by id.
	engines map[models.Domain][]models.Instance
	groups  []models.Group
	health  map[models.GroupID]groupHealth
	// reasons tells why a group is broken or unwanted.
	reasons       map[models.GroupID]string
	starting      map[models.Domain]int
	startingTotal int
	// committed counts the groups of a model that are whole, formed in this
	// round, or broken for so short a time that none is formed elsewhere.
	provisioned map[models.ModelName]int
	// taken are the instances, and ended the groups, that a proposal of
	// this round uses up.
	reserved  map[models.InstanceID]bool
	ended     map[models.GroupID]bool
	formed    int
	proposals []Proposal
}

func newRound(in Input) *round {
	p := &round{
		Input: in, zones: map[models.Domain]models.Zone{}, engines: map[models.Domain][]models.Instance{},
		health: map[models.GroupID]groupHealth{}, reasons: map[models.GroupID]string{}, starting: map[models.Domain]int{},
		reserved: map[models.InstanceID]bool{}, ended: map[models.GroupID]bool{}, provisioned: map[models.ModelName]int{},
	}
	for _, id := range slices.Sorted(maps.Keys(in.Instances)) {
		i := in.Instances[id]
		if i.Kind != models.KindEngine {
			continue
		}
		p.zones[i.Domain] = i.Zone
		p.engines[i.Domain] = append(p.engines[i.Domain], i)
	}
	p.domains = slices.Sorted(maps.Keys(p.engines))
	p.groups = slices.SortedFunc(maps.Values(in.State.Groups), func(a, b models.Group) int { return cmp.Compare(a.Fence, b.Fence) })
	for _, g := range p.groups {
		p.health[g.ID], p.reasons[g.ID] = p.checkHealth(g)
		if p.health[g.ID] == groupHealthy || p.withinRelocationGrace(g) {
			p.provisioned[g.Model]++
		}
		if p.health[g.ID] == groupHealthy && !p.allLoaded(g) {
			p.starting[g.Domain]++
			p.startingTotal++
		}
	}
	return p
}

func (p *round) propose(d models.Domain, body state.Body) {
	p.proposals = append(p.proposals, Proposal{Body: body, Key: string(d)})
}

// present reports whether the instance answers.
func (p *round) alive(id models.InstanceID) bool {
	return p.Evidence[id].alive(p.Now, p.Rules.Bound)
}

func (p *round) leaving(id models.InstanceID) bool {
	_, drained := p.State.Drained[id]
	return drained || p.Instances[id].Leaving || p.Evidence[id].Status.Leaving
}

// missing reports whether the instance has been away for longer than a group
// waits.
func (p *round) missing(id models.InstanceID) bool {
	e, known := p.Evidence[id]
	return known && !p.alive(id) && e.Away(p.Now) > p.Rules.ReplaceAfter
}

func (p *round) checkHealth(g models.Group) (groupHealth, string) {
	if reason := p.unwantedReason(g); reason != "" {
		return groupUnwanted, reason
	}
	for _, m := range g.Members {
		if p.leaving(m.ID) {
			return groupUnwanted, fmt.Sprintf("member %s is leaving", m.ID)
		}
	}
	for _, m := range g.Members {
		if p.missing(m.ID) {
			return groupDegraded, fmt.Sprintf("member %s is missing", m.ID)
		}
	}
	return groupHealthy, ""
}

// unwanted tells why the configuration does not want a group; empty if it
// does.
func (p *round) unwantedReason(g models.Group) string {
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
	}
	return ""
}

// settled reports whether every member is loaded for the group.
func (p *round) allLoaded(g models.Group) bool {
	for _, m := range g.Members {
		s := p.Evidence[m.ID].Status
		if s.Fence != g.Fence || s.Phase != types.PhaseLoaded {
			return false
		}
	}
	return true
}

// quiet reports whether every member that answers runs nothing.
func (p *round) idle(g models.Group) bool {
	for _, m := range g.Members {
		if p.alive(m.ID) && p.Evidence[m.ID].Status.InFlight > 0 {
			return false
		}
	}
	return true
}

// movePatience is how many times longer than for a spare a group waits before
// another one is formed in its stead from other instances: that takes a
// whole load of weights.
const relocationGraceFactor = 5

// patient reports whether a broken group may still be waited for.
func (p *round) withinRelocationGrace(g models.Group) bool {
	if p.health[g.ID] != groupDegraded {
		return false
	}
	for _, m := range g.Members {
		if p.Evidence[m.ID].Away(p.Now) > relocationGraceFactor*p.Rules.ReplaceAfter {
			return false
		}
	}
	return true
}
