package state

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/pack"
	"github.com/lupinkeel/lupinkeel/models"
)

// MaxRecentIDs is how many record IDs the state keeps to detect duplicate records. A
// proposer retries for at most ten seconds and the log takes a few hundred appends per
// second, so all attempts to append a record are within a few thousand offsets. A duplicate
// that arrives even later is rejected as stale by the revision checks.
const MaxRecentIDs = 4096

// MaxAuditEntries is how many audit entries the state keeps: about a week at 7,100 changes
// per day.
const MaxAuditEntries = 50000

// State is the replicated state of all daemons. Values in its maps are never modified in
// place, so clones share them.
type State struct {
	// Applied is the offset of the last applied record.
	Applied    models.Offset
	Models     map[models.ModelName]models.Model
	Workspaces map[models.WorkspaceName]models.Workspace
	Services   map[models.ServiceName]models.Service
	Operators  map[models.OperatorName]models.Operator
	Policy     models.Policy
	Drained    map[models.InstanceID]models.Drain
	Groups     map[models.GroupID]models.Group
	Daemons    map[models.DaemonID]models.Daemon
	Audit      []models.AuditEntry
	// ConfigOffset is the offset of the last accepted ChangeConfig.
	ConfigOffset models.Offset

	// Claims holds the claims of idempotency keys, by key. A clone has none.
	Claims map[string]Claim

	// claimSlots lists the claims in the order in which they were applied, lastClaim is the number of
	// the last one. latestClaimTime is the latest time in any claim.
	claimSlots      []claimSlot
	lastClaim       uint64
	latestClaimTime time.Time

	// owner maps instances to their groups. It is derived from Groups.
	owner map[models.InstanceID]models.GroupID
	// recentIDs lists the last MaxRecentIDs record IDs, oldest first.
	recentIDs []models.RecordID
	seenIDs   map[models.RecordID]struct{}
}

// New returns the initial state, before the first record.
func New() *State {
	return &State{
		Models:     map[models.ModelName]models.Model{},
		Workspaces: map[models.WorkspaceName]models.Workspace{},
		Services:   map[models.ServiceName]models.Service{},
		Operators:  map[models.OperatorName]models.Operator{},
		Policy:     models.Policy{DowntimeWeight: 1, StrandedWeight: 1},
		Drained:    map[models.InstanceID]models.Drain{},
		Groups:     map[models.GroupID]models.Group{},
		Daemons:    map[models.DaemonID]models.Daemon{},
		Claims:     map[string]Claim{},
		owner:      map[models.InstanceID]models.GroupID{},
		seenIDs:    map[models.RecordID]struct{}{},
	}
}

// Owner returns the group that the instance belongs to.
func (s *State) Owner(id models.InstanceID) (models.GroupID, bool) {
	g, ok := s.owner[id]
	return g, ok
}

// Clone returns a copy that records applied later don't change. A clone is read-only:
// records must not be applied to it. It has no claims, because there may be many.
func (s *State) Clone() *State {
	c := *s
	c.Models = maps.Clone(s.Models)
	c.Workspaces = maps.Clone(s.Workspaces)
	c.Services = maps.Clone(s.Services)
	c.Operators = maps.Clone(s.Operators)
	c.Drained = maps.Clone(s.Drained)
	c.Groups = maps.Clone(s.Groups)
	c.Daemons = maps.Clone(s.Daemons)
	c.owner = maps.Clone(s.owner)
	c.Audit = slices.Clip(s.Audit)
	c.recentIDs = slices.Clip(s.recentIDs)
	c.seenIDs = nil
	c.Claims, c.claimSlots = nil, nil
	return &c
}

// snapshot is the canonical encoding of a state: equal states have equal bytes.
type snapshot struct {
	Applied         models.Offset       `msgpack:"o"`
	ConfigOffset    models.Offset       `msgpack:"c"`
	Models          []models.Model      `msgpack:"m"`
	Workspaces      []models.Workspace  `msgpack:"w"`
	Services        []models.Service    `msgpack:"s"`
	Operators       []models.Operator   `msgpack:"op"`
	Policy          models.Policy       `msgpack:"p"`
	Drained         []models.Drain      `msgpack:"dr"`
	Groups          []models.Group      `msgpack:"g"`
	Daemons         []models.Daemon     `msgpack:"d"`
	Audit           []models.AuditEntry `msgpack:"a"`
	RecentIDs       []models.RecordID   `msgpack:"r"`
	Claims          []Claim             `msgpack:"k"`
	LatestClaimTime time.Time           `msgpack:"kt"`
}

// Marshal returns the canonical encoding of the state.
func (s *State) Marshal() ([]byte, error) {
	data, err := pack.Marshal(snapshot{
		Applied:         s.Applied,
		ConfigOffset:    s.ConfigOffset,
		Models:          sorted(s.Models),
		Workspaces:      sorted(s.Workspaces),
		Services:        sorted(s.Services),
		Operators:       sorted(s.Operators),
		Policy:          s.Policy,
		Drained:         sorted(s.Drained),
		Groups:          sorted(s.Groups),
		Daemons:         sorted(s.Daemons),
		Audit:           s.Audit,
		RecentIDs:       s.recentIDs,
		Claims:          s.orderedClaims(),
		LatestClaimTime: s.latestClaimTime,
	})
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return data, nil
}

// Unmarshal decodes a state encoded by Marshal.
func Unmarshal(data []byte) (*State, error) {
	var snap snapshot
	if err := pack.Unmarshal(data, &snap); err != nil {
		return nil, fmt.Errorf("%w: state: %w", ErrUndecodable, err)
	}
	s := New()
	s.Applied, s.ConfigOffset, s.Policy = snap.Applied, snap.ConfigOffset, snap.Policy
	for _, v := range snap.Models {
		s.Models[v.Name] = v
	}
	for _, v := range snap.Workspaces {
		s.Workspaces[v.Name] = v
	}
	for _, v := range snap.Services {
		s.Services[v.Name] = v
	}
	for _, v := range snap.Operators {
		s.Operators[v.Name] = v
	}
	for _, v := range snap.Drained {
		s.Drained[v.Instance] = v
	}
	for _, v := range snap.Groups {
		s.addGroup(v)
	}
	for _, v := range snap.Daemons {
		s.Daemons[v.ID] = v
	}
	for _, entry := range snap.Audit {
		entry.At = entry.At.UTC()
		s.Audit = append(s.Audit, entry)
	}
	s.latestClaimTime = snap.LatestClaimTime.UTC()
	for _, c := range snap.Claims {
		c.At = c.At.UTC()
		s.addClaim(c)
	}
	for _, id := range snap.RecentIDs {
		s.rememberID(id)
	}
	return s, nil
}

// Digest returns a hex-encoded hash of the whole state. Two daemons that have applied the
// same offset have the same digest.
func (s *State) Digest() (string, error) {
	data, err := s.Marshal()
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

func (s *State) addGroup(g models.Group) {
	s.Groups[g.ID] = g
	for _, m := range g.Members {
		s.owner[m.ID] = g.ID
	}
}

func (s *State) removeGroup(id models.GroupID) {
	for _, m := range s.Groups[id].Members {
		delete(s.owner, m.ID)
	}
	delete(s.Groups, id)
}

func (s *State) rememberID(id models.RecordID) {
	if len(s.recentIDs) == MaxRecentIDs {
		delete(s.seenIDs, s.recentIDs[0])
		s.recentIDs = s.recentIDs[1:]
	}
	s.recentIDs = append(s.recentIDs, id)
	s.seenIDs[id] = struct{}{}
}

func sorted[K cmp.Ordered, V any](m map[K]V) []V {
	values := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[k])
	}
	return values
}
