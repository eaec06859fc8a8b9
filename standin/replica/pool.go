// Package replica is a stand-in for the instances that the daemons of the users' platform route to:
// model engines that form groups on orders, and plain services. It records a violation whenever a
// daemon breaks an invariant.
package replica

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/standin/store"
)

// Profile configures the behaviour of the engines.
type Profile struct {
	Models []models.ModelProfile
	// OpenTime is how long a head takes to open, StallTimeout how long a group lacks a member
	// before it breaks.
	OpenTime     time.Duration
	StallTimeout time.Duration
	// EventInterval is the time between two events of a stream, Events the number of events.
	EventInterval time.Duration
	Events        int
	// HeartbeatInterval is the interval at which an instance writes its entry.
	HeartbeatInterval time.Duration
	// EntriesOnChange is set if an instance writes its entry only when something other than the
	// number of writes has changed.
	EntriesOnChange bool
	Slots           int
}

func (p Profile) model(name models.ModelName) (models.ModelProfile, bool) {
	return (&models.EngineProfile{Models: p.Models}).Model(name)
}

// Pool holds all instances of a site.
type Pool struct {
	profile Profile
	store   *store.Store
	// endless is the number of answers without end whose connections are open.
	endless atomic.Int32

	mu        sync.Mutex
	instances map[models.InstanceID]*Instance
	created   int
	// everReady holds, for each epoch of a group, the members that have been ready.
	everReady map[models.GroupKey]map[models.InstanceID]bool
	// runs counts how often each request ran.
	runs       map[models.RequestID]int
	violations []string
	// wrong is how plain requests are answered wrongly, arrivals holds their arrivals, plainTime is how
	// long they take.
	wrong     WrongAnswers
	arrivals  []Arrival
	plainTime time.Duration
	// earlyEnds is how answers end, ends holds how they ended.
	earlyEnds EarlyEnds
	ends      map[models.RequestID][]End
	endCounts map[EndKind]int
	// poisons holds the poison requests by their bodies.
	poisons map[string]*Poison
	places  placeRules
}

// NewPool returns a pool without instances. Its instances write their entries to the store.
func NewPool(profile Profile, store *store.Store) *Pool {
	return &Pool{
		profile: profile, store: store, instances: map[models.InstanceID]*Instance{},
		everReady: map[models.GroupKey]map[models.InstanceID]bool{}, runs: map[models.RequestID]int{},
		poisons: map[string]*Poison{}, ends: map[models.RequestID][]End{}, endCounts: map[EndKind]int{},
	}
}

// SetPlainTime sets how long plain requests take from now on.
func (p *Pool) SetPlainTime(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plainTime = d
}

// Violations returns the violations of invariants so far.
func (p *Pool) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.violations)
}

// RunCount returns how often a request ran.
func (p *Pool) RunCount(id models.RequestID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[id]
}

// Instances returns the running instances, by id.
func (p *Pool) Instances() []*Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*Instance, 0, len(p.instances))
	for _, id := range slices.Sorted(maps.Keys(p.instances)) {
		out = append(out, p.instances[id])
	}
	return out
}

// ServingGroups counts the model's groups that are open and complete.
func (p *Pool) ServingGroups(model models.ModelName) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, i := range p.instances {
		if i.group.State == models.MemberOpen && i.model == model && i.groupComplete() {
			n++
		}
	}
	return n
}

func (p *Pool) reportViolation(format string, args ...any) {
	p.violations = append(p.violations, fmt.Sprintf(format, args...))
}

// entry is the record that an instance writes about itself to the store.
type entry struct {
	Service  models.ServiceName
	Address  netip.AddrPort
	Zone     models.Zone
	Slots    int
	State    string
	Sequence int64
	// ColdRemainingMs is how much longer the instance is cold.
	ColdRemainingMs int64
	workStatus
}

// workStatus describes the models and the group of an instance.
type workStatus struct {
	Models []loadedModel      `json:"Models,omitempty"`
	Domain models.Domain      `json:"domain,omitempty"`
	Staged []models.ModelName `json:"staged,omitempty"`
	Group  *groupStatus       `json:"group,omitempty"`
}

type loadedModel struct {
	Name    models.ModelName
	Version int
}

type groupStatus struct {
	Name  models.GroupID
	Epoch int64              `json:"epoch"`
	Rank  int                `json:"rank"`
	State models.MemberState `json:"State"`
}

// writeEntry writes the instance's entry to the store. The pool must be locked.
func (i *Instance) writeEntry() {
	if i.hung || i.storeUnreachable {
		return
	}
	i.sequence++
	e := entry{Service: i.Service, Address: i.Addr, Zone: i.Zone, Slots: i.pool.profile.Slots, State: "ready", Sequence: i.sequence, ColdRemainingMs: i.coldRemaining(time.Now()), workStatus: i.workStatus()}
	if i.draining {
		e.State = "draining"
	}
	data, err := json.Marshal(e)
	if err != nil {
		i.pool.reportViolation("encoding the entry of %s failed: %v", i.ID, err)
		return
	}
	i.pool.store.Put("servers", string(i.ID), data)
	i.lastWrite = time.Now()
}

// workStatus returns the status of the instance's work. The pool must be locked.
func (i *Instance) workStatus() workStatus {
	status := workStatus{Domain: i.Domain, Staged: i.staged}
	if i.model != "" {
		status.Models = []loadedModel{{Name: i.model, Version: 1}}
	}
	if i.group.State != models.MemberNone {
		status.Group = &groupStatus{Name: i.group.Key.Name, Epoch: i.group.Key.Epoch, Rank: i.group.Rank, State: i.group.State}
	}
	return status
}
