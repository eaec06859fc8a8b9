package router

import (
	"errors"
	"fmt"
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
type Busy func(netip.AddrPort) int

// ChooseGroup returns where a request for the model should run: among the
// groups that the place rules allow, an open one that has not been tried,
// with the least work.
func (t Table) ChooseGroup(w models.Workspace, m models.ModelName, now time.Time, busy Busy, tried []netip.AddrPort) (Target, error) {
	model, ok := t.State.Models[m]
	if !ok {
		return Target{}, fmt.Errorf("%w: %s", ErrUnknownModel, m)
	}
	if !w.AllowsModel(m, model.Version) {
		return Target{}, fmt.Errorf("%w: model %s version %s", ErrNotAllowed, m, model.Version)
	}
	best, bestWork := models.Group{}, 0
	for id, g := range t.State.Groups {
		if !t.mayRun(w, model, g) || !t.Gates[id].Open(now) || slices.Contains(tried, g.Members[0].Addr) {
			continue
		}
		load := t.Gates[id].Load
		work := load.Queued + load.Running + 2*busy(g.Members[0].Addr)
		if best.ID == "" || work < bestWork || (work == bestWork && id < best.ID) {
			best, bestWork = g, work
		}
	}
	if best.ID == "" {
		return Target{}, fmt.Errorf("%w: no open group of model %s where workspace %s may run", ErrNoUpstream, m, w.Name)
	}
	return targetOf(best), nil
}

// mayRun applies every place rule: the model's, the workspace's, and which
// versions the workspace may use.
func (t Table) mayRun(w models.Workspace, model models.Model, g models.Group) bool {
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
func (t Table) ChooseService(w models.Workspace, name models.ServiceName, now time.Time, busy Busy, tried []netip.AddrPort) (Target, error) {
	service, ok := t.State.Services[name]
	if !ok {
		return Target{}, fmt.Errorf("%w: %s", ErrUnknownService, name)
	}
	if !slices.Contains(w.Services, name) {
		return Target{}, fmt.Errorf("%w: service %s", ErrNotAllowed, name)
	}
	var best models.Instance
	bestWork := 0
	for _, s := range t.Services[name] {
		i := s.Instance
		allowed := service.Place.Allows(i.Zone, i.Domain) && w.Place.Allows(i.Zone, i.Domain)
		if !allowed || !now.Before(s.OpenUntil) || slices.Contains(tried, i.Addr) {
			continue
		}
		if work := busy(i.Addr); best.ID == "" || work < bestWork {
			best, bestWork = i, work
		}
	}
	if best.ID == "" {
		return Target{}, fmt.Errorf("%w: no instance of service %s where workspace %s may run", ErrNoUpstream, name, w.Name)
	}
	return Target{Addr: best.Addr, Instances: []models.InstanceID{best.ID}, Zone: best.Zone, Domain: best.Domain}, nil
}
