package models

import (
	"net/netip"
	"time"
)

// UpstreamInstance is an upstream instance as described by its own entry in the platform's
// store.
type UpstreamInstance struct {
	ID InstanceID
	// StartedAt is the start time of the instance by its own clock; zero if unknown. An instance
	// that restarts under the same ID has lost all its earlier state.
	StartedAt time.Time `msgpack:"Born,omitempty"`
	Service   ServiceName
	Addr      netip.AddrPort
	Zone      Zone
	Domain    Domain
	Slots     int
	Draining  bool
	// LoadedModel is the model that the instance runs or, as far as known, the last one it ran since
	// its start; the instance joins a group of this model fastest. StagedModels lists the models
	// whose weights are stored on the instance's host.
	LoadedModel  ModelName   `msgpack:"Loaded"`
	StagedModels []ModelName `msgpack:"Staged"`
	Group        Membership
	// HeartbeatSeq is the number of times that the instance has written its entry.
	HeartbeatSeq int64 `msgpack:"Heartbeat"`
	// ColdFor is how much longer the instance stays cold, as of when its entry was written: for some
	// time after a start it bears few requests only.
	ColdFor time.Duration `msgpack:"Cold,omitempty"`
}

// IncarnationOrder is the result of comparing the incarnation of an instance in a report with
// the known incarnation. An instance begins a new incarnation at each start.
type IncarnationOrder int

// The results of CompareIncarnation.
const (
	// SameIncarnation is also the result if either start time is unknown.
	SameIncarnation IncarnationOrder = iota
	// EarlierIncarnation means that the report is about an earlier incarnation than the known one.
	EarlierIncarnation
	// LaterIncarnation means that the report is about a later incarnation than the known one.
	LaterIncarnation
)

// CompareIncarnation compares the incarnation with the given start time with the incarnation i.
func (i UpstreamInstance) CompareIncarnation(startedAt time.Time) IncarnationOrder {
	switch {
	case startedAt.IsZero() || i.StartedAt.IsZero() || startedAt.Equal(i.StartedAt):
		return SameIncarnation
	case startedAt.Before(i.StartedAt):
		return EarlierIncarnation
	default:
		return LaterIncarnation
	}
}

// Membership is the membership in a group as the instance reports it. Key is zero if the
// instance is in no group.
type Membership struct {
	Key   GroupKey
	Rank  int
	State MemberState
}

// Follows reports whether m is a later membership than previous: a membership in a later group,
// or a later state in the same group.
func (m Membership) Follows(previous Membership) bool {
	if m.Key.Epoch != previous.Key.Epoch {
		return m.Key.Epoch > previous.Key.Epoch
	}
	return m.State.rank() > previous.State.rank()
}

// MemberState is the state of an instance as a member of a replica group.
type MemberState string

// The states of a member. Only the head of a group can be open, closing or broken.
const (
	MemberNone    MemberState = ""
	MemberJoining MemberState = "joining"
	MemberReady   MemberState = "ready"
	MemberOpen    MemberState = "open"
	MemberClosing MemberState = "closing"
	MemberBroken  MemberState = "broken"
)

// IsValid reports whether s is one of the defined states.
func (s MemberState) IsValid() bool {
	switch s {
	case MemberNone, MemberJoining, MemberReady, MemberOpen, MemberClosing, MemberBroken:
		return true
	default:
		return false
	}
}

// rank orders the states through which a member passes within a group.
func (s MemberState) rank() int {
	switch s {
	case MemberNone:
		return 0
	case MemberJoining:
		return 1
	case MemberReady:
		return 2
	case MemberOpen:
		return 3
	default:
		return 4
	}
}

// GroupKey identifies a replica group with a given list of members. A group with other members
// never has both the same name and the same epoch.
type GroupKey struct {
	Name  GroupID `msgpack:"n"`
	Epoch int64   `msgpack:"e"`
}
