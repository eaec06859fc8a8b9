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

// Reasons why no upstream is found for a request.
var (
	ErrUnknownModel   = errors.New("no such model")
	ErrUnknownService = errors.New("no such service")
	ErrNotAllowed     = errors.New("not allowed for this workspace")
	// ErrNoUpstream: no upstream that is allowed to run the request can take it now.
	ErrNoUpstream = errors.New("nothing can take the request now")
)

// Table is the routing table: the data from which upstreams are chosen.
type Table struct {
	State *state.State
	Gates map[models.GroupID]planner.Gate
	// Daemons is the number of serving daemons, including this one.
	Daemons int
	// Capacity is how many requests this daemon may have in flight at each group. It has no
	// entry for groups that don't report how many requests they run concurrently.
	Capacity map[models.GroupID]int
	// Services lists the instances of each plain service.
	Services map[models.ServiceName][]ServiceInstance
}

// ServiceInstance is one instance of a plain service.
type ServiceInstance struct {
	Instance models.Instance
	// OpenUntil is the time from which the instance gets no requests unless newer evidence
	// arrives.
	OpenUntil time.Time
}

// Target is the upstream chosen for a request. Group is the zero value for a plain service.
type Target struct {
	Group     models.Group
	Addr      netip.AddrPort
	Instances []models.InstanceID
	Zone      models.Zone
	Domain    models.Domain
}

// InFlightFunc returns how many requests this daemon has in flight at an address.
type InFlightFunc func(netip.AddrPort) int

// affinityUtilizationSlack is how much a group's utilization may exceed that of the least utilized
// group for the group to be preferred for its prefix cache.
const affinityUtilizationSlack = 0.25

// Prompt describes a prompt for cache affinity.
type Prompt struct {
	// Prefix is a hash of the beginning of the prompt. SeenBefore is set if a recent prompt had the
	// same prefix.
	Prefix     uint64
	SeenBefore bool
}

// candidate is a group that can take the request now.
type candidate struct {
	group models.Group
	// utilization is the estimated fraction of the group's slots that is in use: the
	// requests that this daemon has in flight at the group, times the number of daemons
	// (assuming that the others have as many), plus the queue length that the engine
	// reports. The reported number of running requests is not used: it is a second old, and
	// all daemons would send to the same group that was idle then.
	utilization float64
}

// ChooseGroup chooses the group that runs a request for the model. It considers groups that
// the placement rules allow, that are open and not full, and whose address is not in
// exclude. It chooses the least utilized of them. For a prompt prefix that has been seen
// before, it chooses by rendezvous hashing of the prefix among the groups whose utilization
// is at most affinityUtilizationSlack higher. So prompts with the same prefix use the same cache,
// whichever daemon they arrive at, without relying on cache events, which arrive late and
// with gaps.
func (t Table) ChooseGroup(w models.Workspace, m models.ModelName, p Prompt, now time.Time, inFlight InFlightFunc, exclude []netip.AddrPort) (Target, error) {
	candidates, err := t.candidates(w, m, now, inFlight, exclude)
	if err != nil {
		return Target{}, err
	}
	lowest := slices.MinFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.utilization, b.utilization) }).utilization
	slack := 0.0
	if p.SeenBefore {
		slack = affinityUtilizationSlack
	}
	var best models.Group
	var bestWeight uint64
	for _, c := range candidates {
		weight := affinityWeight(p.Prefix, c.group.ID)
		if c.utilization <= lowest+slack && (best.ID == "" || weight > bestWeight) {
			best, bestWeight = c.group, weight
		}
	}
	return targetOf(best), nil
}

// affinityWeight returns the rendezvous hashing weight of a group for a prefix.
func affinityWeight(prefix uint64, id models.GroupID) uint64 {
	h := fnv.New64a()
	var buf [8]byte
	binary.BigEndian.PutUint64(buf[:], prefix)
	h.Write([]byte(id))
	h.Write(buf[:])
	return planner.MixHash(h.Sum64())
}

// candidates returns the groups that can take the request now, or an error if there are none.
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
		out = append(out, candidate{group: g, utilization: float64(load.Queued+own*max(1, t.Daemons)) / float64(max(1, load.Slots))})
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

// CapacityFor returns how many requests this daemon may have in flight for a model, over all
// open groups that the workspace may use; -1 if the capacity of none of them is known.
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

// placementAllowed checks the placement rules of the model and the workspace, and whether
// the workspace may use the group's version.
func (t Table) placementAllowed(w models.Workspace, model models.Model, g models.Group) bool {
	return g.Model == model.Name && w.AllowsModel(g.Model, g.Version) &&
		model.Placement.Allows(g.Zone, g.Domain) && w.Placement.Allows(g.Zone, g.Domain)
}

func targetOf(g models.Group) Target {
	target := Target{Group: g, Addr: g.Members[0].Addr, Zone: g.Zone, Domain: g.Domain}
	for _, m := range g.Members {
		target.Instances = append(target.Instances, m.ID)
	}
	return target
}

// ChooseService chooses the instance of a plain service that runs a request: the one with
// the fewest requests of this daemon in flight.
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
		allowed := service.Placement.Allows(i.Zone, i.Domain) && w.Placement.Allows(i.Zone, i.Domain)
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
