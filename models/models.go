// Package models defines the data types that all packages of lupinkeel share: instances,
// replica groups, the declared configuration, routes, and their names. Besides data, the
// types have only validation, comparison and lookup methods.
package models

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"time"
)

// Types of names. CheckName defines their syntax.
type (
	// InstanceID names an upstream instance, as in the platform's instance list.
	InstanceID string
	// DaemonID names a lupinkeel daemon.
	DaemonID string
	// GroupID names a replica group for as long as it exists.
	GroupID string
	// ModelName names a model.
	ModelName string
	// Version names a version of a model's weights.
	Version string
	// WorkspaceName names a workspace: the tenant to which a request belongs.
	WorkspaceName string
	// ServiceName names a plain service.
	ServiceName string
	// OperatorName names a person or program that may query a daemon or change the
	// configuration.
	OperatorName string
	// Zone names an availability zone.
	Zone string
	// Region names a region: a set of availability zones.
	Region string
	// Domain names a fabric domain.
	Domain string
	// RequestID identifies a caller's request across all attempts to run it.
	RequestID string
	// RecordID identifies a record across all attempts to append it.
	RecordID string
)

// Offset is the position of a record in the log. The first record has offset 1; 0 is the
// position before the first record.
type Offset uint64

// Fence is a fencing token: it orders the commands that are sent to instances. A group's fence
// is the offset of the record that formed the group, so a later group always has a larger fence.
type Fence = Offset

// Revision is the offset of the record that last changed an entity. An entity that does not
// exist has revision 0.
type Revision = Offset

// MaxNameLen is the maximum length of a name, in bytes.
const MaxNameLen = 63

// ErrBadName is returned by CheckName for an invalid name.
var ErrBadName = errors.New("bad name")

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// CheckName returns ErrBadName unless s starts with a lower-case letter or digit, contains
// only lower-case letters, digits, '.', '_' and '-', and has at most MaxNameLen bytes.
func CheckName[S ~string](s S) error {
	if len(s) > MaxNameLen || !namePattern.MatchString(string(s)) {
		return fmt.Errorf("%w: %q", ErrBadName, string(s))
	}
	return nil
}

// InstanceKind distinguishes model engines from plain services.
type InstanceKind string

// The kinds of upstream instances.
const (
	KindEngine  InstanceKind = "engine"
	KindService InstanceKind = "service"
)

// Instance is an upstream instance as described in the platform's instance list.
type Instance struct {
	ID           InstanceID     `msgpack:"id" json:"id"`
	Kind         InstanceKind   `msgpack:"k" json:"kind"`
	Addr         netip.AddrPort `msgpack:"a" json:"addr"`
	Zone         Zone           `msgpack:"z" json:"zone"`
	Domain       Domain         `msgpack:"d" json:"domain"`
	Accelerators int            `msgpack:"n" json:"accelerators"`
	// ChecksFences is true if the instance rejects orders and requests with a fence that is
	// older than the newest one it has seen.
	ChecksFences bool `msgpack:"f" json:"checks_fences"`
	// Leaving is true if the platform is about to remove the instance.
	Leaving bool `msgpack:"l" json:"leaving"`
	// Service is set only for KindService.
	Service ServiceName `msgpack:"s" json:"service,omitempty"`
}

// Member is an instance of a group. It holds all that a daemon needs to reach the instance
// while the platform's instance list is unavailable.
type Member struct {
	ID           InstanceID     `msgpack:"id" json:"id"`
	Addr         netip.AddrPort `msgpack:"a" json:"addr"`
	Accelerators int            `msgpack:"n" json:"accelerators"`
	ChecksFences bool           `msgpack:"f" json:"checks_fences"`
}

// Group is a replica group: a fixed list of instances of one fabric domain that together serve
// one version of a model. Requests are sent to Members[0], the head.
type Group struct {
	ID      GroupID   `msgpack:"id" json:"id"`
	Model   ModelName `msgpack:"m" json:"model"`
	Version Version   `msgpack:"v" json:"version"`
	Zone    Zone      `msgpack:"z" json:"zone"`
	Domain  Domain    `msgpack:"d" json:"domain"`
	Members []Member  `msgpack:"i" json:"members"`
	Fence   Fence     `msgpack:"f" json:"fence"`
	// Retiring is the offset of the record since which the group accepts no new requests; 0
	// while the group accepts requests.
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

// Accelerators returns the number of accelerators of all members together.
func (g Group) Accelerators() int {
	total := 0
	for _, m := range g.Members {
		total += m.Accelerators
	}
	return total
}

// Daemon is an entry of the roster, the list of the daemons in the cluster.
type Daemon struct {
	ID   DaemonID `msgpack:"id" json:"id"`
	Zone Zone     `msgpack:"z" json:"zone"`
	// Peer is the address on which the daemon listens for other daemons.
	Peer netip.AddrPort `msgpack:"p" json:"peer"`
	// Incarnation differs between two processes that ran under the same ID.
	Incarnation uint64 `msgpack:"n" json:"incarnation"`
	// Joined is the offset of the record that added this incarnation to the roster.
	Joined Offset `msgpack:"j" json:"joined"`
}

// AuditEntry records a change of the configuration that an operator requested.
type AuditEntry struct {
	Offset   Offset       `msgpack:"o" json:"offset"`
	At       time.Time    `msgpack:"t" json:"at"`
	Operator OperatorName `msgpack:"w" json:"operator"`
	Daemon   DaemonID     `msgpack:"d" json:"daemon"`
	Change   string       `msgpack:"c" json:"change"`
	Note     string       `msgpack:"n" json:"note"`
	// RejectionReason is the reason for which the change was rejected; empty for an accepted change.
	RejectionReason string `msgpack:"r" json:"refused,omitempty"`
}
