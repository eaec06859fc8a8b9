package types

import (
	"net/netip"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Phase is the progress of an engine's last load order.
type Phase string

// Phases of an engine.
const (
	PhaseEmpty   Phase = "empty"
	PhaseLoading Phase = "loading"
	// PhaseJoining: the weights are loaded, but the first member has not yet found all other
	// members loaded.
	PhaseJoining Phase = "joining"
	PhaseLoaded  Phase = "loaded"
)

// Load is the load that an engine reports. It lags behind the actual load.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Slots is the maximum number of requests that the engine runs concurrently; 0 if it does not
	// report it.
	Slots int `json:"slots"`
}

// EngineStatus is the status that an engine reports about itself.
type EngineStatus struct {
	Instance models.InstanceID `json:"instance"`
	// Incarnation differs for every start of the engine's process.
	Incarnation uint64           `json:"incarnation"`
	Group       models.GroupID   `json:"group,omitempty"`
	Fence       models.Fence     `json:"fence,omitempty"`
	Model       models.ModelName `json:"model,omitempty"`
	Version     models.Version   `json:"version,omitempty"`
	Phase       Phase            `json:"phase"`
	Leaving     bool             `json:"leaving"`
	Load        Load             `json:"load"`
	// InFlight is the exact number of requests in flight, unlike Load: it shows when a group is
	// idle.
	InFlight int `json:"in_flight"`
}

// OrderKind is what an order asks an instance to do.
type OrderKind string

// Kinds of orders.
const (
	// OrderLoad makes the instance a member of a group.
	OrderLoad OrderKind = "load"
	// OrderPrepare makes an instance without a group load weights before they are needed.
	OrderPrepare OrderKind = "prepare"
	// OrderLeave makes the instance leave its group.
	OrderLeave OrderKind = "leave"
)

// Order is a fenced order to one instance. An engine that checks fences rejects an order whose
// fence is older than the newest it has seen.
type Order struct {
	Kind    OrderKind        `json:"kind"`
	Group   models.GroupID   `json:"group"`
	Fence   models.Fence     `json:"fence"`
	Model   models.ModelName `json:"model,omitempty"`
	Version models.Version   `json:"version,omitempty"`
	Rank    int              `json:"rank"`
	// Members lists the addresses of all members of the group by rank.
	Members []netip.AddrPort `json:"members,omitempty"`
}

// Dispatch is an order, the instance it goes to, and the time at which it was decided.
type Dispatch struct {
	Instance models.InstanceID
	Addr     netip.AddrPort
	Decided  time.Time
	Order    Order
}
