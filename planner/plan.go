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

// Rules holds the limits and timeouts that the planner works with.
type Rules struct {
	// ReplaceAfter is how long a member may be unreachable before it is replaced.
	// It can be short, because a member that returns while its replacement is still
	// loading weights rejoins the group: see replaceLoadingMembers.
	ReplaceAfter time.Duration
	// MaxEvidenceAge is the age at which evidence about an instance becomes stale.
	MaxEvidenceAge time.Duration
	// MaxStarting is how many groups may be starting (not all members loaded) in
	// total, and MaxStartingPerDomain in one fabric domain.
	MaxStarting          int
	MaxStartingPerDomain int
	// MaxLoads is how many instances may load weights concurrently.
	MaxLoads int
}

// DefaultRules returns the default limits with the given ReplaceAfter and MaxEvidenceAge.
func DefaultRules(replaceAfter, maxEvidenceAge time.Duration) Rules {
	return Rules{ReplaceAfter: replaceAfter, MaxEvidenceAge: maxEvidenceAge, MaxStarting: 64, MaxStartingPerDomain: 8, MaxLoads: 128}
}

// Input is the input of one planning round.
type Input struct {
	State *state.State
	// Instances is the platform's instance list.
	Instances map[models.InstanceID]models.Instance
	Evidence  map[models.InstanceID]Evidence
	// RetiringSince is when this daemon learned that a group is being retired.
	RetiringSince map[models.GroupID]time.Time
	Now           time.Time
	Rules         Rules
}

// Proposal is a record that the planner wants appended to the log.
type Proposal struct {
	Body state.Body
	// RendezvousKey is the rendezvous hashing key that selects the daemon that appends the
	// record: the fabric domain.
	RendezvousKey string
}

// Plan returns the changes to make to the replica groups. It is deterministic, including
// the IDs of new groups, so that two daemons that plan on the same state don't form two
// groups.
func Plan(in Input) []Proposal {
	p := newRound(in)
	p.retireUnwanted()
	p.replaceLoadingMembers()
	target := p.target()
	for _, d := range p.domains {
		p.fillDomain(d, target[d])
	}
	p.endSurplus(target)
	return p.proposals
}

// target returns the number of groups of each model in each domain. If the stable instances don't suffice
// for the replicas that models want, those in a longer hold-down count too: a group that may break again
// serves more than none.
func (p *round) target() Target {
	wanted := p.wantedModels()
	target := assign(p.supplies(), wanted, p.State.Policy)
	short := slices.ContainsFunc(wanted, func(m models.Model) bool { return target.total(m.Name) < m.Replicas })
	if !short || !p.anyFlapping() {
		return target
	}
	p.useFlapping = true
	return assign(p.supplies(), wanted, p.State.Policy)
}

// anyFlapping reports whether an instance could get work but for a hold-down longer than the shortest.
func (p *round) anyFlapping() bool {
	for id, e := range p.Evidence {
		if !e.stable(p.Now) && p.alive(id) && e.returned(p.Now) {
			return true
		}
	}
	return false
}

// ready reports whether an instance may be given work as far as its flaps are concerned.
func (p *round) ready(id models.InstanceID) bool {
	e := p.Evidence[id]
	return e.stable(p.Now) || (p.useFlapping && e.returned(p.Now))
}

// groupHealth is the health of a replica group.
type groupHealth uint8

const (
	// groupHealthy: every member is reachable, or has been unreachable for no longer than
	// Rules.ReplaceAfter.
	groupHealthy groupHealth = iota
	// groupDegraded: a member has been unreachable for longer than Rules.ReplaceAfter.
	groupDegraded
	// groupUnwanted: the configuration no longer wants the group, or a member is leaving.
	groupUnwanted
)

// round is the working state of one planning round.
type round struct {
	Input
	domains []models.Domain
	zones   map[models.Domain]models.Zone
	// engines lists the engines of each domain, sorted by ID.
	engines map[models.Domain][]models.Instance
	groups  []models.Group
	health  map[models.GroupID]groupHealth
	// reasons holds why each degraded or unwanted group is so.
	reasons       map[models.GroupID]string
	starting      map[models.Domain]int
	startingTotal int
	// provisioned counts the groups of each model that are healthy, are formed in this
	// round, or are degraded but still within the relocation grace period.
	provisioned map[models.ModelName]int
	// reserved holds the instances that a proposal of this round uses, ended the groups
	// that a proposal of this round ends.
	reserved map[models.InstanceID]bool
	ended    map[models.GroupID]bool
	// useFlapping is set if models want more replicas than the stable instances can form.
	useFlapping bool
	formed      int
	proposals   []Proposal
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
	p.proposals = append(p.proposals, Proposal{Body: body, RendezvousKey: string(d)})
}

// alive reports whether there is fresh evidence that the instance responds.
func (p *round) alive(id models.InstanceID) bool {
	return p.Evidence[id].alive(p.Now, p.Rules.MaxEvidenceAge)
}

// leaving reports whether the instance is drained or is shutting down.
func (p *round) leaving(id models.InstanceID) bool {
	_, drained := p.State.Drained[id]
	return drained || p.Instances[id].Leaving || p.Evidence[id].Status.Leaving
}

// missing reports whether the instance has been unreachable for longer than
// Rules.ReplaceAfter.
func (p *round) missing(id models.InstanceID) bool { return p.goneFor(id, p.Rules.ReplaceAfter) }

// goneFor reports whether the instance has been unreachable for longer than the duration.
func (p *round) goneFor(id models.InstanceID, d time.Duration) bool {
	e, known := p.Evidence[id]
	return known && !p.alive(id) && e.UnreachableFor(p.Now) > d
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

// unwantedReason returns why the configuration no longer wants a group, or "" if it
// still does.
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
	case !m.Placement.Allows(g.Zone, g.Domain):
		return "its model may not stand there any more"
	}
	return ""
}

// allLoaded reports whether every member has joined the group and loaded its weights.
func (p *round) allLoaded(g models.Group) bool {
	for _, m := range g.Members {
		s := p.Evidence[m.ID].Status
		if s.Fence != g.Fence || s.Phase != types.PhaseLoaded {
			return false
		}
	}
	return true
}

// idle reports whether the members of a retiring group have no requests in flight. Of a member from
// which nothing was heard since the group was retired this is not known: unless it is unreachable for the
// relocation grace period, it may still serve streams.
func (p *round) idle(g models.Group) bool {
	for _, m := range g.Members {
		e, watched := p.Evidence[m.ID]
		if !watched || p.goneFor(m.ID, relocationGraceFactor*p.Rules.ReplaceAfter) {
			continue
		}
		if !p.alive(m.ID) || !e.LastSeen.After(p.RetiringSince[g.ID]) || e.Status.InFlight > 0 {
			return false
		}
	}
	return true
}

// relocationGraceFactor times Rules.ReplaceAfter is how long a degraded group is waited
// for before a group is formed instead of it from entirely different instances. It is longer
// than the wait before a spare replaces a member, because all members of the new group have
// to load weights.
const relocationGraceFactor = 5

// withinRelocationGrace reports whether a group is degraded and all of its members have been
// unreachable for no longer than the relocation grace period.
func (p *round) withinRelocationGrace(g models.Group) bool {
	if p.health[g.ID] != groupDegraded {
		return false
	}
	for _, m := range g.Members {
		if p.Evidence[m.ID].UnreachableFor(p.Now) > relocationGraceFactor*p.Rules.ReplaceAfter {
			return false
		}
	}
	return true
}
