package types

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// GroupOrderKind tells what a group order asks an instance for.
type GroupOrderKind string

// The kinds of group orders.
const (
	// GroupJoin makes the instance a member of a group.
	GroupJoin GroupOrderKind = "join"
	// GroupOpen lets a group's head take requests.
	GroupOpen GroupOrderKind = "open"
	// GroupCut stops the head at once, GroupFinish once its requests ended.
	GroupCut    GroupOrderKind = "cut"
	GroupFinish GroupOrderKind = "finish"
	// GroupLeave takes the instance out of its group.
	GroupLeave GroupOrderKind = "leave"
	// GroupStage loads a model onto the instance's host ahead of need.
	GroupStage GroupOrderKind = "stage"
)

// GroupOrder is one order to one instance.
type GroupOrder struct {
	Kind     GroupOrderKind
	Instance models.InstanceID
	// Born is the birth of the life of the instance that the order is meant for,
	// zero if it is not known. What comes of it says nothing of another life.
	Born  time.Time
	Group models.GroupKey
	// Fence rises with every order: an instance refuses an order whose fence
	// is older than one that it has seen.
	Fence int64
	// Model is set for joins and stagings, Members (the head first) for
	// joins.
	Model   models.ModelName
	Members []models.InstanceID
}

// OrderOutcome is what came of a group order.
type OrderOutcome string

// The outcomes of orders.
const (
	// OrderUnknown: no answer; the order may still be carried out.
	OrderUnknown OrderOutcome = "unknown"
	// OrderBegun: the instance is at it.
	OrderBegun OrderOutcome = "begun"
	// OrderDone: what was ordered holds.
	OrderDone OrderOutcome = "done"
	// OrderUnfit: it does not fit the instance's state.
	OrderUnfit OrderOutcome = "unfit"
	// OrderFenced: the instance has seen a newer fence or epoch.
	OrderFenced OrderOutcome = "fenced"
	// OrderOtherInstance: another instance has the address now.
	OrderOtherInstance OrderOutcome = "other-instance"
)
