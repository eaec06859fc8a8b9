// Package models holds the nouns that every part of lupinkeel shares:
// instances, replica groups, the declared configuration and their names.
// Its types carry data and checks of their own shape, no behaviour.
package models

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"time"
)

// Names of things. Each is a short lower-case word; see CheckName.
type (
	// InstanceID names one upstream instance, as the platform's list does.
	InstanceID string
	// DaemonID names one lupinkeel daemon.
	DaemonID string
	// GroupID names one replica group for as long as it exists.
	GroupID string
	// ModelName names a model.
	ModelName string
	// Version names one version of a model's weights.
	Version string
	// WorkspaceName names a workspace, the unit that owns requests.
	WorkspaceName string
	// ServiceName names a plain service.
	ServiceName string
	// OperatorName names a person or program that may ask or change.
	OperatorName string
	// Zone names an availability zone.
	Zone string
	// Domain names a fabric domain.
	Domain string
	// RequestID names one caller's request over all its tries.
	RequestID string
	// RecordID names one record over all tries to append it.
	RecordID string
)

// Offset is the position of a record on the log. The first record has
// offset 1; 0 stands for "before every record".
type Offset uint64

// Fence orders what instances are told. A group's fence is the offset of
// the record that formed it, so a later group always has a larger fence.
type Fence = Offset

// Revision is the offset of the record that last changed an entity; 0 is
// the revision of an entity that does not exist.
type Revision = Offset

// MaxNameLen is the longest name accepted, in bytes.
const MaxNameLen = 63

// ErrBadName is returned for a name that CheckName refuses.
var ErrBadName = errors.New("bad name")

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// CheckName returns ErrBadName unless s starts with a lower-case letter or
// digit, continues with those, '.', '_' or '-', and has at most MaxNameLen
// bytes.
func CheckName[S ~string](s S) error {
	if len(s) > MaxNameLen || !namePattern.MatchString(string(s)) {
		return fmt.Errorf("%w: %q", ErrBadName, string(s))
	}
	return nil
}

// InstanceKind tells a model engine from a plain service.
type InstanceKind string

// The kinds of upstream instances.
const (
	KindEngine  InstanceKind = "engine"
	KindService InstanceKind = "service"
)

// Instance is one upstream machine as the platform's list describes it.
type Instance struct {
	ID           InstanceID     `msgpack:"id" json:"id"`
	Kind         InstanceKind   `msgpack:"k" json:"kind"`
	Addr         netip.AddrPort `msgpack:"a" json:"addr"`
	Zone         Zone           `msgpack:"z" json:"zone"`
	Domain       Domain         `msgpack:"d" json:"domain"`
	Accelerators int            `msgpack:"n" json:"accelerators"`
	// ChecksFences tells that the instance refuses orders and requests
	// whose fence is older than the newest that it has seen.
	ChecksFences bool `msgpack:"f" json:"checks_fences"`
	// Leaving tells that the platform is about to take the instance away.
	Leaving bool `msgpack:"l" json:"leaving"`
	// Service is set for KindService only.
	Service ServiceName `msgpack:"s" json:"service,omitempty"`
}

// Member is one instance of a group, with what a daemon needs to reach it
// when the instance list is away.
type Member struct {
	ID           InstanceID     `msgpack:"id" json:"id"`
	Addr         netip.AddrPort `msgpack:"a" json:"addr"`
	Accelerators int            `msgpack:"n" json:"accelerators"`
	ChecksFences bool           `msgpack:"f" json:"checks_fences"`
}

// Group is one replica group: a fixed list of instances of one fabric
// domain that together serve one version of one model. Members[0] takes
// the requests.
type Group struct {
	ID      GroupID   `msgpack:"id" json:"id"`
	Model   ModelName `msgpack:"m" json:"model"`
	Version Version   `msgpack:"v" json:"version"`
	Zone    Zone      `msgpack:"z" json:"zone"`
	Domain  Domain    `msgpack:"d" json:"domain"`
	Members []Member  `msgpack:"i" json:"members"`
	Fence   Fence     `msgpack:"f" json:"fence"`
	// Retiring is the offset of the record that told the group to take no
	// new requests; 0 while it may take them.
	Retiring Offset `msgpack:"r" json:"retiring,omitempty"`
}

// Has reports whether the instance is a member of the group.
func (g Group) Has(id InstanceID) bool {
	for _, m := range g.Members {
		if m.ID == id {
			return true
		}
	}
	return false
}

// Accelerators is the number of accelerators of all members.
func (g Group) Accelerators() int {
	total := 0
	for _, m := range g.Members {
		total += m.Accelerators
	}
	return total
}

// Daemon is one entry of the roster.
type Daemon struct {
	ID   DaemonID `msgpack:"id" json:"id"`
	Zone Zone     `msgpack:"z" json:"zone"`
	// Peer is where the daemon listens for other daemons.
	Peer netip.AddrPort `msgpack:"p" json:"peer"`
	// Incarnation differs between two processes that ran under one name.
	Incarnation uint64 `msgpack:"n" json:"incarnation"`
	// Joined is the offset of the record that added this incarnation.
	Joined Offset `msgpack:"j" json:"joined"`
}

// AuditEntry tells of one change that an operator asked for.
type AuditEntry struct {
	Offset   Offset       `msgpack:"o" json:"offset"`
	At       time.Time    `msgpack:"t" json:"at"`
	Operator OperatorName `msgpack:"w" json:"operator"`
	Daemon   DaemonID     `msgpack:"d" json:"daemon"`
	Change   string       `msgpack:"c" json:"change"`
	Note     string       `msgpack:"n" json:"note"`
	// Refused is the reason, empty for an accepted change.
	Refused string `msgpack:"r" json:"refused,omitempty"`
}
