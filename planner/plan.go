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
	MaxUnsettled       int
	MaxUnsettledDomain int
	// MaxLoads is how many instances may load weights at once.
	MaxLoads int
}

// DefaultRules returns the rules for a wait and a bound.
func DefaultRules(replaceAfter, bound time.Duration) Rules {
	return Rules{ReplaceAfter: replaceAfter, Bound: bound, MaxUnsettled: 64, MaxUnsettledDomain: 8, MaxLoads: 128}
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
	p.swapBack()
	target := assign(p.supplies(), p.wanted(), in.State.Policy)
	for _, d := range p.domains {
		p.fillDomain(d, target[d])
	}
	p.endSurplus(target)
	return p.proposals
}

// health is how a group is doing.
type health uint8

const (
	// healthWhole: every member is there, or has been away for less time
	// than a group waits.
	healthWhole health = iota
	// healthBroken: a member is missing.
	healthBroken
	// healthUnwanted: the configuration or a leaving member ends the group.
	healthUnwanted
)

// round is one round of planning.
type round struct {
	Input
	domains []models.Domain
	zones   map[models.Domain]models.Zone
	// engines lists each domain's engines by id.
	engines map[models.Domain][]models.Instance
	groups  []models.Group
	health  map[models.GroupID]health
	// reasons tells why a group is broken or unwanted.
	reasons   map[models.GroupID]string
	unsettled map[models.Domain]int
	inAll     int
	// committed counts the groups of a model that are whole, formed in this
	// round, or broken for so short a time that none is formed elsewhere.
	committed map[models.ModelName]int
	// taken are the instances, and ended the groups, that a proposal of
	// this round uses up.
	taken     map[models.InstanceID]bool
	ended     map[models.GroupID]bool
	formed    int
	proposals []Proposal
}

func newRound(in Input) *round {
	p := &round{
		Input: in, zones: map[models.Domain]models.Zone{}, engines: map[models.Domain][]models.Instance{},
		health: map[models.GroupID]health{}, reasons: map[models.GroupID]string{}, unsettled: map[models.Domain]int{},
		taken: map[models.InstanceID]bool{}, ended: map[models.GroupID]bool{}, committed: map[models.ModelName]int{},
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
		p.health[g.ID], p.reasons[g.ID] = p.examine(g)
		if p.health[g.ID] == healthWhole || p.patient(g) {
			p.committed[g.Model]++
		}
		if p.health[g.ID] == healthWhole && !p.settled(g) {
			p.unsettled[g.Domain]++
			p.inAll++
		}
	}
	return p
}

func (p *round) propose(d models.Domain, body state.Body) {
	p.proposals = append(p.proposals, Proposal{Body: body, Key: string(d)})
}

// present reports whether the instance answers.
func (p *round) present(id models.InstanceID) bool {
	return p.Evidence[id].present(p.Now, p.Rules.Bound)
}

func (p *round) leaving(id models.InstanceID) bool {
	_, drained := p.State.Drained[id]
	return drained || p.Instances[id].Leaving || p.Evidence[id].Status.Leaving
}

// missing reports whether the instance has been away for longer than a group
// waits.
func (p *round) missing(id models.InstanceID) bool {
	e, watched := p.Evidence[id]
	return watched && !p.present(id) && e.Away(p.Now) > p.Rules.ReplaceAfter
}

func (p *round) examine(g models.Group) (health, string) {
	if why := p.unwanted(g); why != "" {
		return healthUnwanted, why
	}
	for _, m := range g.Members {
		if p.leaving(m.ID) {
			return healthUnwanted, fmt.Sprintf("member %s is leaving", m.ID)
		}
	}
	for _, m := range g.Members {
		if p.missing(m.ID) {
			return healthBroken, fmt.Sprintf("member %s is missing", m.ID)
		}
	}
	return healthWhole, ""
}

// unwanted tells why the configuration does not want a group; empty if it
// does.
func (p *round) unwanted(g models.Group) string {
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
func (p *round) settled(g models.Group) bool {
	for _, m := range g.Members {
		s := p.Evidence[m.ID].Status
		if s.Fence != g.Fence || s.Phase != types.PhaseLoaded {
			return false
		}
	}
	return true
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

// movePatience is how many times longer than for a spare a group waits before
// another one is formed in its stead from other instances: that takes a
// whole load of weights.
const movePatience = 5

// patient reports whether a broken group may still be waited for.
func (p *round) patient(g models.Group) bool {
	if p.health[g.ID] != healthBroken {
		return false
	}
	for _, m := range g.Members {
		if p.Evidence[m.ID].Away(p.Now) > movePatience*p.Rules.ReplaceAfter {
			return false
		}
	}
	return true
}

// atOnce is the part of a model's groups, one in so many but at least one,
// that may be retired at a time for a new version or another size.
const atOnce = 4

// retireUnwanted lets unwanted groups finish their requests and ends them
// once they are quiet. A changed model is changed a few groups at a time; a
// leaving member can't wait.
func (p *round) retireUnwanted() {
	retiring := map[models.ModelName]int{}
	for _, g := range p.groups {
		if g.Retiring != 0 {
			retiring[g.Model]++
		}
	}
	for _, g := range p.groups {
		if p.health[g.ID] != healthUnwanted {
			continue
		}
		why := p.reasons[g.ID]
		m, declared := p.State.Models[g.Model]
		rolling := declared && p.unwanted(g) != "" && m.Place.Allows(g.Zone, g.Domain)
		switch {
		case g.Retiring != 0 && p.quiet(g):
			p.ended[g.ID] = true
			p.propose(g.Domain, state.EndGroup{Group: refTo(g), Reason: why})
		case g.Retiring != 0:
		case rolling && retiring[g.Model] >= max(1, m.Replicas/atOnce):
		default:
			retiring[g.Model]++
			p.propose(g.Domain, state.RetireGroup{Group: refTo(g), Reason: why})
		}
	}
}

func refTo(g models.Group) state.GroupRef { return state.GroupRef{ID: g.ID, Fence: g.Fence} }

// free lists the engines of a domain that belong to no group and can take
// work, those with the least to do for the model first: weights at hand, few
// absences lately, then by id.
func (p *round) free(d models.Domain, m models.Model) []models.Instance {
	var out []models.Instance
	for _, i := range p.engines[d] {
		if _, owned := p.State.Owner(i.ID); !owned && p.eligible(i.ID) {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b models.Instance) int {
		ea, eb := p.Evidence[a.ID], p.Evidence[b.ID]
		return cmp.Or(
			compareFalseFirst(!ea.holds(m), !eb.holds(m)),
			cmp.Compare(ea.Absences, eb.Absences),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return out
}

func compareFalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func (p *round) eligible(id models.InstanceID) bool {
	return !p.taken[id] && !p.leaving(id) && p.present(id) && p.Evidence[id].steady(p.Now)
}

// supplies counts what each domain has to offer.
func (p *round) supplies() []supply {
	out := make([]supply, 0, len(p.domains))
	at := map[models.Domain]int{}
	for _, d := range p.domains {
		s := supply{domain: d, zone: p.zones[d], whole: map[models.ModelName]int{}, accelerators: p.engines[d][0].Accelerators}
		for _, i := range p.engines[d] {
			if p.usable(i.ID) {
				s.usable++
			}
		}
		at[d] = len(out)
		out = append(out, s)
	}
	for _, g := range p.groups {
		if i, known := at[g.Domain]; known && p.health[g.ID] == healthWhole && !p.ended[g.ID] {
			out[i].whole[g.Model]++
		}
	}
	return out
}

// usable reports whether an instance counts as supply: it can take work now,
// or it is the member of a group that is whole, or it will be free once its
// group has been retired. If the last did not count, the target would change
// while a group retires, and change back afterwards, for ever.
func (p *round) usable(id models.InstanceID) bool {
	if p.leaving(id) {
		return false
	}
	owner, owned := p.State.Owner(id)
	switch {
	case !owned:
		return p.present(id) && p.Evidence[id].steady(p.Now)
	case p.health[owner] == healthWhole:
		return true
	default:
		return p.present(id)
	}
}

// wanted lists the models by name.
func (p *round) wanted() []models.Model {
	var out []models.Model
	for _, name := range slices.Sorted(maps.Keys(p.State.Models)) {
		if m := p.State.Models[name]; m.Replicas > 0 {
			out = append(out, m)
		}
	}
	return out
}

// fillDomain forms the groups that the target wants beyond those that are
// whole: out of what is left of a broken group, spares, and the members of
// other broken groups of the domain.
func (p *round) fillDomain(d models.Domain, target map[models.ModelName]int) {
	whole := map[models.ModelName]int{}
	for _, g := range p.groups {
		if g.Domain == d && p.health[g.ID] == healthWhole && !p.ended[g.ID] {
			whole[g.Model]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(target)) {
		for range target[name] - whole[name] {
			if p.unsettled[d] >= p.Rules.MaxUnsettledDomain || p.inAll >= p.Rules.MaxUnsettled {
				return
			}
			if !p.form(d, p.State.Models[name]) {
				break
			}
			p.unsettled[d]++
			p.inAll++
		}
	}
}

// broken lists the broken groups of a domain that are left, those of the
// model first, those with the most members left first.
func (p *round) broken(d models.Domain, m models.ModelName) []models.Group {
	var out []models.Group
	for _, g := range p.groups {
		if g.Domain == d && p.health[g.ID] == healthBroken && !p.ended[g.ID] {
			out = append(out, g)
		}
	}
	slices.SortStableFunc(out, func(a, b models.Group) int {
		return cmp.Or(
			compareFalseFirst(a.Model != m, b.Model != m),
			cmp.Compare(len(p.remaining(b)), len(p.remaining(a))),
		)
	})
	return out
}

// remaining lists the members of a broken group that are there.
func (p *round) remaining(g models.Group) []models.Member {
	var out []models.Member
	for _, m := range g.Members {
		if p.present(m.ID) && !p.leaving(m.ID) {
			out = append(out, m)
		}
	}
	return out
}

func (p *round) form(d models.Domain, m models.Model) bool {
	next := models.Group{Model: m.Name, Version: m.Version, Zone: p.zones[d], Domain: d}
	form := state.FormGroup{ModelRevision: m.Revision, Reason: "its model wants more replicas"}
	donors := p.broken(d, m.Name)
	repairs := len(donors) > 0 && donors[0].Model == m.Name
	if !repairs && p.committed[m.Name] >= m.Replicas {
		return false
	}
	if repairs {
		form.Reason = p.reasons[donors[0].ID]
		next.Members = p.remaining(donors[0])[:min(m.Members, len(p.remaining(donors[0])))]
		form.Replaces = append(form.Replaces, refTo(donors[0]))
		donors = donors[1:]
	}
	for _, i := range p.free(d, m) {
		if len(next.Members) < m.Members {
			next.Members = append(next.Members, memberOf(i))
		}
	}
	for _, donor := range slices.Backward(donors) {
		if len(next.Members) >= m.Members {
			break
		}
		form.Replaces = append(form.Replaces, refTo(donor))
		for _, member := range p.remaining(donor) {
			if len(next.Members) < m.Members {
				next.Members = append(next.Members, member)
			}
		}
	}
	if len(next.Members) < m.Members {
		return false
	}
	if !repairs || !p.patient(p.State.Groups[form.Replaces[0].ID]) {
		p.committed[m.Name]++
	}
	next.ID = p.newName(m.Name)
	form.Group = next
	for _, member := range next.Members {
		p.taken[member.ID] = true
	}
	for _, ref := range form.Replaces {
		p.ended[ref.ID] = true
	}
	p.propose(d, form)
	return true
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

// swapBack puts an instance that holds the weights in the place of a member
// that still loads them. So a member that comes back soon after it was
// replaced makes the group whole at once, and replacing early costs nothing.
func (p *round) swapBack() {
	for _, g := range p.groups {
		m, declared := p.State.Models[g.Model]
		if !declared || p.health[g.ID] != healthWhole || p.settled(g) {
			continue
		}
		loading := slices.IndexFunc(g.Members, func(member models.Member) bool {
			s := p.Evidence[member.ID].Status
			return s.Fence == g.Fence && s.Phase == types.PhaseLoading
		})
		if loading < 0 {
			continue
		}
		spares := p.free(g.Domain, m)
		if len(spares) == 0 || !p.Evidence[spares[0].ID].holds(m) {
			continue
		}
		next := g
		next.ID = p.newName(g.Model)
		next.Members = slices.Clone(g.Members)
		next.Members[loading] = memberOf(spares[0])
		p.taken[spares[0].ID] = true
		p.ended[g.ID] = true
		p.unsettled[g.Domain]--
		p.propose(g.Domain, state.FormGroup{
			Group: next, ModelRevision: m.Revision, Replaces: []state.GroupRef{refTo(g)},
			Reason: fmt.Sprintf("instance %s holds the weights already", spares[0].ID),
		})
	}
}

// endSurplus retires whole groups that the target has no place for, and ends
// broken ones whose model has enough groups without them.
func (p *round) endSurplus(target Target) {
	whole := map[models.Domain]map[models.ModelName]int{}
	for _, g := range p.groups {
		if p.ended[g.ID] {
			continue
		}
		switch p.health[g.ID] {
		case healthWhole:
			if whole[g.Domain] == nil {
				whole[g.Domain] = map[models.ModelName]int{}
			}
			whole[g.Domain][g.Model]++
			if whole[g.Domain][g.Model] > target[g.Domain][g.Model] {
				p.propose(g.Domain, state.RetireGroup{Group: refTo(g), Reason: "its model has enough replicas, or its instances are of more use elsewhere"})
			}
		case healthBroken:
			if target.total(g.Model) >= p.State.Models[g.Model].Replicas {
				p.propose(g.Domain, state.EndGroup{Group: refTo(g), Reason: p.reasons[g.ID] + " and its model has enough replicas without it"})
			}
		}
	}
}
