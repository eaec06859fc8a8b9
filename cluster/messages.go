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
		data  []byte
		asked time.Time
		// era is the store's.
		era int64
	}
	// instancesRead: all entries of instances were read.
	instancesRead struct{ reading }
	// instancesChanged: these entries were written since the last reading.
	instancesChanged struct{ reading }
	// rosterRead: these entries of daemons are the newest.
	rosterRead struct{ reading }
	// storeAway: a reading of the store failed.
	storeAway struct {
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
	heartbeatSeen struct {
		beat Heartbeat
		at   time.Time
	}
	// peerConfig: another daemon handed its configuration over.
	peerConfig struct{ config ConfigCopy }
	// peerLost: the connection to another daemon ended.
	peerLost struct {
		id  models.DaemonID
		err error
	}
	// newsSeen: the daemon that plans told of instances, or that it does no more;
	// or a relay told of all instances.
	newsSeen struct {
		term      int64
		feed      int64
		instances []InstanceNews
		// entries is nil if an older program told.
		entries *EntriesTold
		whole   bool
		ended   bool
		at      time.Time
	}
	// orderEnded: an order was answered, or was not.
	orderEnded struct {
		order   types.GroupOrder
		outcome types.OrderOutcome
		err     error
		at      time.Time
		// took is how long the answer took, or the wait for it.
		took time.Duration
	}
	// reportEnded: an instance was asked how it is.
	reportEnded struct {
		instance models.UpstreamInstance
		err      error
		asked    time.Time
		took     time.Duration
	}
	// stalled: nothing moves at a group's head. It was found by another
	// daemon if from is set.
	stalled struct {
		group models.GroupKey
		head  models.InstanceID
		from  models.DaemonID
	}
	// limitsChanged: something is new of instances' limits.
	limitsChanged struct{}
	// signalsChanged: something is new of what instances ask for.
	signalsChanged struct{}
)

func (limitsChanged) isMessage()    {}
func (signalsChanged) isMessage()   {}
func (newsSeen) isMessage()         {}
func (configRead) isMessage()       {}
func (instancesRead) isMessage()    {}
func (instancesChanged) isMessage() {}
func (rosterRead) isMessage()       {}
func (storeAway) isMessage()        {}
func (leaseHeld) isMessage()        {}
func (leaseLost) isMessage()        {}
func (heartbeatSeen) isMessage()    {}
func (peerConfig) isMessage()       {}
func (peerLost) isMessage()         {}
func (orderEnded) isMessage()       {}
func (reportEnded) isMessage()      {}
func (stalled) isMessage()          {}
