package types

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// GroupOrderKind is what a group order asks an instance to do.
type GroupOrderKind string

// Kinds of group orders.
const (
	// GroupJoin makes the instance a member of a group.
	GroupJoin GroupOrderKind = "join"
	// GroupOpen lets the head of a group accept requests.
	GroupOpen GroupOrderKind = "open"
	// GroupStop stops the head immediately; GroupDrain stops it once its requests have ended.
	GroupStop  GroupOrderKind = "cut"
	GroupDrain GroupOrderKind = "finish"
	// GroupLeave removes the instance from its group.
	GroupLeave GroupOrderKind = "leave"
	// GroupStage loads a model onto the instance's host before it is needed.
	GroupStage GroupOrderKind = "stage"
)

// GroupOrder is an order to one instance.
type GroupOrder struct {
	Kind     GroupOrderKind
	Instance models.InstanceID
	// StartedAt is the start time of the instance that the order is meant for; zero if unknown. An
	// instance that restarts under the same ID has another start time, and the outcome of the
	// order says nothing about it.
	StartedAt time.Time
	Group     models.GroupKey
	// Fence increases with every order. An instance rejects an order whose fence is older than
	// one it has seen.
	Fence int64
	// Model is set for GroupJoin and GroupStage. Members is set for GroupJoin; the head is first.
	Model   models.ModelName
	Members []models.InstanceID
}

// OrderOutcome is the result of a group order.
type OrderOutcome string

// Outcomes of group orders.
const (
	// OrderUnknown: no response; the order may still be carried out.
	OrderUnknown OrderOutcome = "unknown"
	// OrderStarted: the instance is carrying out the order.
	OrderStarted OrderOutcome = "begun"
	// OrderDone: the instance is in the ordered state.
	OrderDone OrderOutcome = "done"
	// OrderRejected: the order is not valid in the instance's state.
	OrderRejected OrderOutcome = "unfit"
	// OrderFenced: the instance has seen a newer fence or epoch.
	OrderFenced OrderOutcome = "fenced"
	// OrderOtherInstance: another instance answers at the address.
	OrderOtherInstance OrderOutcome = "other-instance"
)
