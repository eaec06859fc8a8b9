// Package replica is a stand-in for the instances behind the daemons on the
// users' platform: model engines that form groups by orders, and plain
// services. It checks for itself the rules that no daemon may break.
package replica

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/standin/store"
)

// Profile is how the stand-ins' engines behave.
type Profile struct {
	Models []models.ModelProfile
	// FormTime is how long a head takes to open, Stall how long a group
	// stands still until it breaks.
	FormTime time.Duration
	Stall    time.Duration
	// EventEvery is the time between two events of a stream, Events their
	// number.
	EventEvery time.Duration
	Events     int
	// Heartbeat is how often an instance writes its entry.
	Heartbeat time.Duration
	Slots     int
}

func (p Profile) model(name models.ModelName) (models.ModelProfile, bool) {
	return (&models.EngineProfile{Models: p.Models}).Model(name)
}

// Fabric holds all instances of a site.
type Fabric struct {
	profile Profile
	store   *store.Store

	mu        sync.Mutex
	instances map[models.InstanceID]*Instance
	made      int
	// everReady holds the members that were ready in each composition.
	everReady map[models.GroupKey]map[models.InstanceID]bool
	// runs counts how often each request was run.
	runs   map[models.RequestID]int
	broken []string
	// poison holds the bodies that crash the instances that run them.
	poison map[string]*Poison
}

// NewFabric returns a fabric without instances, whose entries go into the
// store.
func NewFabric(profile Profile, s *store.Store) *Fabric {
	return &Fabric{
		profile: profile, store: s, instances: map[models.InstanceID]*Instance{},
		everReady: map[models.GroupKey]map[models.InstanceID]bool{}, runs: map[models.RequestID]int{},
		poison: map[string]*Poison{},
	}
}

// Broken lists the rules that were broken so far.
func (f *Fabric) Broken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.broken)
}

// Runs is how often a request was run.
func (f *Fabric) Runs(id models.RequestID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// Instances lists those that are there.
func (f *Fabric) Instances() []*Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*Instance, 0, len(f.instances))
	for _, id := range slices.Sorted(maps.Keys(f.instances)) {
		out = append(out, f.instances[id])
	}
	return out
}

// Serving counts the groups of a model that are open and whole.
func (f *Fabric) Serving(model models.ModelName) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, i := range f.instances {
		if i.group.State == models.MemberOpen && i.model == model && i.whole() {
			n++
		}
	}
	return n
}

func (f *Fabric) fail(format string, args ...any) {
	f.broken = append(f.broken, fmt.Sprintf(format, args...))
}

// entry is what an instance writes of itself.
type entry struct {
	Service  models.ServiceName
	Address  netip.AddrPort
	Zone     models.Zone
	Slots    int
	State    string
	Sequence int64
	work
}

// work is what an instance tells of its models and its group.
type work struct {
	Models []loaded           `json:"Models,omitempty"`
	Domain models.Domain      `json:"domain,omitempty"`
	Staged []models.ModelName `json:"staged,omitempty"`
	Group  *told              `json:"group,omitempty"`
}

type loaded struct {
	Name    models.ModelName
	Version int
}

type told struct {
	Name  models.GroupID
	Epoch int64              `json:"epoch"`
	Rank  int                `json:"rank"`
	State models.MemberState `json:"State"`
}

// write writes the instance's entry. The fabric must be locked.
func (i *Instance) write() {
	if i.dark || i.cutFromStore {
		return
	}
	i.beats++
	e := entry{Service: i.Service, Address: i.Addr, Zone: i.Zone, Slots: i.f.profile.Slots, State: "ready", Sequence: i.beats, work: i.tell()}
	if i.draining {
		e.State = "draining"
	}
	data, err := json.Marshal(e)
	if err != nil {
		i.f.fail("entry of %s: %v", i.ID, err)
		return
	}
	i.f.store.Put("servers", string(i.ID), data)
	i.written = time.Now()
}

// tell is what the instance tells of its work. The fabric must be locked.
func (i *Instance) tell() work {
	w := work{Domain: i.Domain, Staged: i.staged}
	if i.model != "" {
		w.Models = []loaded{{Name: i.model, Version: 1}}
	}
	if i.group.State != models.MemberNone {
		w.Group = &told{Name: i.group.Key.Name, Epoch: i.group.Key.Epoch, Rank: i.group.Rank, State: i.group.State}
	}
	return w
}
