package types

import (
	"net/netip"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Phase is how far an engine is with its last load order.
type Phase string

// The phases of an engine.
const (
	PhaseEmpty   Phase = "empty"
	PhaseLoading Phase = "loading"
	// PhaseJoining: the weights are there, but the first member has not
	// found all others loaded.
	PhaseJoining Phase = "joining"
	PhaseLoaded  Phase = "loaded"
)

// Load is an engine's own report of its work. It lags.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Slots is how many requests the engine runs at once; 0 if it does not
	// tell.
	Slots int `json:"slots"`
}

// EngineStatus is what an engine tells of itself.
type EngineStatus struct {
	Instance models.InstanceID `json:"instance"`
	// Incarnation differs between two starts of the engine's process.
	Incarnation uint64           `json:"incarnation"`
	Group       models.GroupID   `json:"group,omitempty"`
	Fence       models.Fence     `json:"fence,omitempty"`
	Model       models.ModelName `json:"model,omitempty"`
	Version     models.Version   `json:"version,omitempty"`
	Phase       Phase            `json:"phase"`
	Leaving     bool             `json:"leaving"`
	Load        Load             `json:"load"`
	// InFlight is exact, unlike Load: it tells when a group is quiet.
	InFlight int `json:"in_flight"`
}

// OrderKind tells what an order asks for.
type OrderKind string

// The kinds of orders.
const (
	// OrderLoad makes the instance a member of a group.
	OrderLoad OrderKind = "load"
	// OrderPrepare makes an instance of no group load weights ahead of
	// need.
	OrderPrepare OrderKind = "prepare"
	// OrderLeave makes the instance leave its group.
	OrderLeave OrderKind = "leave"
)

// Order is a fenced order to one instance. An engine that checks fences
// refuses one whose fence is older than the newest that it has seen.
type Order struct {
	Kind    OrderKind        `json:"kind"`
	Group   models.GroupID   `json:"group"`
	Fence   models.Fence     `json:"fence"`
	Model   models.ModelName `json:"model,omitempty"`
	Version models.Version   `json:"version,omitempty"`
	Rank    int              `json:"rank"`
	// Members lists the addresses of the whole group by rank.
	Members []netip.AddrPort `json:"members,omitempty"`
}

// Dispatch is an order to one instance, with when it was decided.
type Dispatch struct {
	Instance models.InstanceID
	Addr     netip.AddrPort
	Decided  time.Time
	Order    Order
}
