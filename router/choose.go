package router

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/planner"
	"github.com/lupinkeel/lupinkeel/state"
)

// Reasons why a request finds no upstream.
var (
	ErrUnknownModel   = errors.New("no such model")
	ErrUnknownService = errors.New("no such service")
	ErrNotAllowed     = errors.New("not allowed for this workspace")
	// ErrNoUpstream: nothing that may run the request can take it now.
	ErrNoUpstream = errors.New("nothing can take the request now")
)

// Table is what the choice is made from.
type Table struct {
	State *state.State
	Gates map[models.GroupID]planner.Gate
	// Daemons is how many daemons serve, this one included.
	Daemons int
	// Capacity is how many requests this daemon may have in flight at each
	// group; a group that does not tell how many it runs is not in it.
	Capacity map[models.GroupID]int
	// Services lists the instances of each plain service.
	Services map[models.ServiceName][]ServiceInstance
}

// ServiceInstance is one instance of a plain service.
type ServiceInstance struct {
	Instance models.Instance
	// OpenUntil is the time from which the instance takes no requests
	// unless newer evidence comes.
	OpenUntil time.Time
}

// Target is where a request is to run. Group is zero for a plain service.
type Target struct {
	Group     models.Group
	Addr      netip.AddrPort
	Instances []models.InstanceID
	Zone      models.Zone
	Domain    models.Domain
}

// Busy tells how many requests this daemon has in flight at an address.
type InFlightFunc func(netip.AddrPort) int

// affinitySlack is how much busier than the least busy group, in parts of
// what it runs at once, a group may be and still be preferred for its cache.
const affinityLoadSlack = 0.25

// Prompt is what the choice needs to know of a prompt.
type Prompt struct {
	// Prefix is a hash of its beginning; Seen tells that this came before.
	Prefix uint64
	Seen   bool
}

// candidate is a group that may take the request now.
type candidate struct {
	group models.Group
	// busy is the part of its slots that is taken, as far as is known: what
	// this daemon has in flight, taken for what each of the others has, and
	// the queue that the engine reports. What it reports as running is left
	// out: it is a second old, and all daemons would follow it at once to
	// the group that was idle then.
	load float64
}

// ChooseGroup returns where a request for the model should run: among the
// groups that the place rules allow, an open one that has not been tried and
// is not full: the least busy one, or, for a prompt whose beginning came
// before, one that is not much busier and comes first in an order that
// depends on that beginning. So prompts that begin alike meet in the same
// cache, whichever daemon they come through, without relying on cache events,
// which come late and with gaps.
func (t Table) ChooseGroup(w models.Workspace, m models.ModelName, p Prompt, now time.Time, inFlight InFlightFunc, exclude []netip.AddrPort) (Target, error) {
	candidates, err := t.candidates(w, m, now, inFlight, exclude)
	if err != nil {
		return Target{}, err
	}
	lowest := slices.MinFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.load, b.load) }).load
	slack := 0.0
	if p.Seen {
		slack = affinityLoadSlack
	}
	var best models.Group
	var bestWeight uint64
	for _, c := range candidates {
		weight := affinityWeight(p.Prefix, c.group.ID)
		if c.load <= lowest+slack && (best.ID == "" || weight > bestWeight) {
			best, bestWeight = c.group, weight
		}
	}
	return targetOf(best), nil
}

// affinity is the weight of a group in the order for a prefix.
func affinityWeight(prefix uint64, id models.GroupID) uint64 {
	h := fnv.New64a()
	var buf [8]byte
	binary.BigEndian.PutUint64(buf[:], prefix)
	h.Write([]byte(id))
	h.Write(buf[:])
	return planner.Mix(h.Sum64())
}

// candidates lists the groups that may take the request now; there is at
// least one if there is no error.
func (t Table) candidates(w models.Workspace, m models.ModelName, now time.Time, inFlight InFlightFunc, exclude []netip.AddrPort) ([]candidate, error) {
	model, ok := t.State.Models[m]
	if !ok {
		return nil, fmt.Errorf("%w: %s", ErrUnknownModel, m)
	}
	if !w.AllowsModel(m, model.Version) {
		return nil, fmt.Errorf("%w: model %s version %s", ErrNotAllowed, m, model.Version)
	}
	var out []candidate
	full := false
	for id, g := range t.State.Groups {
		if !t.placementAllowed(w, model, g) || !t.Gates[id].Open(now) || slices.Contains(exclude, g.Members[0].Addr) {
			continue
		}
		own := inFlight(g.Members[0].Addr)
		if capacity, known := t.Capacity[id]; known && own >= capacity {
			full = true
			continue
		}
		load := t.Gates[id].Load
		out = append(out, candidate{group: g, load: float64(load.Queued+own*max(1, t.Daemons)) / float64(max(1, load.Slots))})
	}
	switch {
	case len(out) > 0:
		return out, nil
	case full:
		return nil, fmt.Errorf("%w for model %s: %w", ErrOverloaded, m, errFull)
	default:
		return nil, fmt.Errorf("%w: no open group of model %s where workspace %s may run", ErrNoUpstream, m, w.Name)
	}
}

// CapacityFor sums up what this daemon may have in flight for a model at the
// groups where the workspace may run; -1 if it is not known.
func (t Table) CapacityFor(w models.Workspace, m models.ModelName, now time.Time) int {
	total, known := 0, false
	for id, g := range t.State.Groups {
		if !t.placementAllowed(w, t.State.Models[m], g) || !t.Gates[id].Open(now) {
			continue
		}
		capacity, reported := t.Capacity[id]
		total += capacity
		known = known || reported
	}
	if !known {
		return -1
	}
	return total
}

// mayRun applies every place rule: the model's, the workspace's, and which
// versions the workspace may use.
func (t Table) placementAllowed(w models.Workspace, model models.Model, g models.Group) bool {
	return g.Model == model.Name && w.AllowsModel(g.Model, g.Version) &&
		model.Place.Allows(g.Zone, g.Domain) && w.Place.Allows(g.Zone, g.Domain)
}

func targetOf(g models.Group) Target {
	target := Target{Group: g, Addr: g.Members[0].Addr, Zone: g.Zone, Domain: g.Domain}
	for _, m := range g.Members {
		target.Instances = append(target.Instances, m.ID)
	}
	return target
}

// ChooseService returns the instance of a plain service that should run a
// call: the one with the least work of this daemon's.
func (t Table) ChooseService(w models.Workspace, name models.ServiceName, now time.Time, inFlight InFlightFunc, exclude []netip.AddrPort) (Target, error) {
	service, ok := t.State.Services[name]
	if !ok {
		return Target{}, fmt.Errorf("%w: %s", ErrUnknownService, name)
	}
	if !slices.Contains(w.Services, name) {
		return Target{}, fmt.Errorf("%w: service %s", ErrNotAllowed, name)
	}
	var best models.Instance
	lowest := 0
	for _, s := range t.Services[name] {
		i := s.Instance
		allowed := service.Place.Allows(i.Zone, i.Domain) && w.Place.Allows(i.Zone, i.Domain)
		if !allowed || !now.Before(s.OpenUntil) || slices.Contains(exclude, i.Addr) {
			continue
		}
		if n := inFlight(i.Addr); best.ID == "" || n < lowest {
			best, lowest = i, n
		}
	}
	if best.ID == "" {
		return Target{}, fmt.Errorf("%w: no instance of service %s where workspace %s may run", ErrNoUpstream, name, w.Name)
	}
	return Target{Addr: best.Addr, Instances: []models.InstanceID{best.ID}, Zone: best.Zone, Domain: best.Domain}, nil
}
