package models

import "net/netip"

// UpstreamInstance is one instance behind the daemons, as its own entry in
// the platform's store describes it.
type UpstreamInstance struct {
	ID       InstanceID
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

// Membership is what an instance tells of the group that it is in. A zero
// Key stands for no group.
type Membership struct {
	Key   GroupKey
	Rank  int
	State MemberState
}

// Follows reports whether a member that was as before can have come to this
// state since by going forward: into a later group, or further in the same.
func (m Membership) Follows(before Membership) bool {
	if m.Key.Epoch != before.Key.Epoch {
		return m.Key.Epoch > before.Key.Epoch
	}
	return m.State.rank() > before.State.rank()
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
