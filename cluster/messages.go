package cluster

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// message is what the owner of a node's state is told. The set is closed.
type message interface{ isMessage() }

type (
	// configRead: the configuration was read from the store, or proved to be
	// unchanged if data is nil. It was current at the time asked.
	configRead struct {
		data        []byte
		requestedAt time.Time
		// era is the store's.
		era int64
	}
	// instancesRead: all entries of instances were read.
	instancesSnapshot struct{ readResult }
	// instancesChanged: these entries were written since the last reading.
	instancesDelta struct{ readResult }
	// rosterRead: these entries of daemons are the newest.
	rosterRead struct{ readResult }
	// storeAway: a reading of the store failed.
	storeCallFailed struct {
		what string
		err  error
	}
	// leaseHeld: this node plans the replica groups in a new term, until the given
	// time unless its lease is renewed.
	leaseHeld struct {
		term  int64
		until time.Time
	}
	// leaseLost: another node plans, or none.
	leaseLost struct{ reason string }
	// heartbeatSeen: another daemon told of itself.
	heartbeatReceived struct {
		heartbeat  Heartbeat
		receivedAt time.Time
	}
	// peerConfig: another daemon handed its configuration over.
	configReceived struct{ config ConfigCopy }
	// peerLost: the connection to another daemon ended.
	peerDisconnected struct {
		id  models.DaemonID
		err error
	}
	// newsSeen: the daemon that plans told of instances, or that it does no more;
	// or a relay told of all instances.
	updateReceived struct {
		term      int64
		seq       int64
		instances []InstanceUpdate
		// entries is nil if an older program told.
		entries    *EntriesRange
		snapshot   bool
		termEnded  bool
		receivedAt time.Time
	}
	// orderEnded: an order was answered, or was not.
	orderFinished struct {
		order      types.GroupOrder
		outcome    types.OrderOutcome
		err        error
		finishedAt time.Time
		// took is how long the answer took, or the wait for it.
		took time.Duration
	}
	// reportEnded: an instance was asked how it is.
	probeFinished struct {
		instance models.UpstreamInstance
		err      error
		sentAt   time.Time
		took     time.Duration
	}
	// stalled: nothing moves at a group's head. It was found by another
	// daemon if from is set.
	stallDetected struct {
		group models.GroupKey
		head  models.InstanceID
		from  models.DaemonID
	}
	// limitsChanged: something is new of instances' limits.
	limitsChanged struct{}
	// signalsChanged: something is new of what instances ask for.
	signalsChanged struct{}
)

func (limitsChanged) isMessage()     {}
func (signalsChanged) isMessage()    {}
func (updateReceived) isMessage()    {}
func (configRead) isMessage()        {}
func (instancesSnapshot) isMessage() {}
func (instancesDelta) isMessage()    {}
func (rosterRead) isMessage()        {}
func (storeCallFailed) isMessage()   {}
func (leaseHeld) isMessage()         {}
func (leaseLost) isMessage()         {}
func (heartbeatReceived) isMessage() {}
func (configReceived) isMessage()    {}
func (peerDisconnected) isMessage()  {}
func (orderFinished) isMessage()     {}
func (probeFinished) isMessage()     {}
func (stallDetected) isMessage()     {}
