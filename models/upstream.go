package models

import (
	"net/netip"
	"time"
)

// UpstreamInstance is one instance behind the daemons, as its own entry in
// the platform's store describes it.
type UpstreamInstance struct {
	ID InstanceID
	// Born is when the instance started, by its own clock. One that starts again
	// under its id knows nothing of before. It is zero where that is not told.
	Born     time.Time `msgpack:",omitempty"`
	Service  ServiceName
	Addr     netip.AddrPort
	Zone     Zone
	Domain   Domain
	Slots    int
	Draining bool
	// Loaded is the model that the instance runs or, as far as is known, ran
	// last since its start; it joins a group of that model fastest. Staged are
	// those that lie on its host.
	Loaded ModelName
	Staged []ModelName
	Group  Membership
	// Heartbeat counts the instance's writes of its entry.
	Heartbeat int64
}

// Life tells how what was told of an instance stands to what is known of it.
type Life int

// The lives of an instance.
const (
	// SameLife is also taken where one of the two does not tell its birth.
	SameLife Life = iota
	EarlierLife
	LaterLife
)

// LifeOf tells of which life of the instance something was told, by the birth that
// came with it.
func (i UpstreamInstance) LifeOf(startedAt time.Time) Life {
	switch {
	case startedAt.IsZero() || i.Born.IsZero() || startedAt.Equal(i.Born):
		return SameLife
	case startedAt.Before(i.Born):
		return EarlierLife
	default:
		return LaterLife
	}
}

// Membership is what an instance tells of the group that it is in. A zero
// Key stands for no group.
type Membership struct {
	Key   GroupKey
	Rank  int
	State MemberState
}

// Follows reports whether a member that was as before can have come to this
// state since by going forward: into a later group, or further in the same.
func (m Membership) Follows(previous Membership) bool {
	if m.Key.Epoch != previous.Key.Epoch {
		return m.Key.Epoch > previous.Key.Epoch
	}
	return m.State.rank() > previous.State.rank()
}

// MemberState is how far an instance is as a member of a replica group.
type MemberState string

// The states of a member. Only a group's head is ever open, closing or
// broken.
const (
	MemberNone    MemberState = ""
	MemberJoining MemberState = "joining"
	MemberReady   MemberState = "ready"
	MemberOpen    MemberState = "open"
	MemberClosing MemberState = "closing"
	MemberBroken  MemberState = "broken"
)

// Known reports whether there is such a state.
func (s MemberState) Known() bool {
	switch s {
	case MemberNone, MemberJoining, MemberReady, MemberOpen, MemberClosing, MemberBroken:
		return true
	default:
		return false
	}
}

// rank orders the states that a member of one group goes through.
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

// GroupKey names one composition of a replica group: the same name is never
// used with another epoch for other members.
type GroupKey struct {
	Name  GroupID `msgpack:"n"`
	Epoch int64   `msgpack:"e"`
}
