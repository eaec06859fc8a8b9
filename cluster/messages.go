package cluster

import (
	"time"

	"github.com/lupinkeel/lupinkeel/evacuation"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// message is an event that the owner handles. The set is closed.
type message interface{ isMessage() }

type (
	// configRead: the configuration was read from the store. A nil data means that the store holds
	// nothing newer. The result was current at requestedAt.
	configRead struct {
		data        []byte
		requestedAt time.Time
		// evacuations are the operators' records about zones before end: all of them if snapshot is
		// set, otherwise those since the last read.
		evacuations []evacuation.Change
		snapshot    bool
		// end is the position before which the operators' records were read.
		end models.Position
	}
	// instancesSnapshot: all entries of instances were read.
	instancesSnapshot struct{ readResult }
	// instancesDelta: the entries written since the last read were read.
	instancesDelta struct{ readResult }
	// rosterRead: the newest roster entries of these daemons were read. The owner closes applied, if
	// set, once it has handled all earlier messages.
	rosterRead struct {
		readResult
		applied chan struct{}
	}
	// rosterSettled: enough of the roster is known to tell which daemons are relays.
	rosterSettled struct{}
	// storeCallFailed: a call to the store failed.
	storeCallFailed struct {
		what string
		err  error
	}
	// leaseHeld: this node is planner in the given term, until the given time unless the lease is
	// renewed.
	leaseHeld struct {
		term  int64
		until time.Time
	}
	// leaseLost: this node does not hold the planner's lease any more.
	leaseLost struct{ reason string }
	// heartbeatReceived: another daemon sent a heartbeat. It was written after writtenAfter, which is
	// zero if that is not known.
	heartbeatReceived struct {
		heartbeat    Heartbeat
		receivedAt   time.Time
		writtenAfter time.Time
	}
	// configReceived: another daemon sent its configuration, which was written after writtenAfter.
	configReceived struct {
		config       ConfigCopy
		writtenAfter time.Time
	}
	// peerDisconnected: the connection from another daemon ended.
	peerDisconnected struct {
		id  models.DaemonID
		err error
	}
	// updateReceived: the planner sent changes of instances or the end of its term, or a relay sent
	// a snapshot of all instances.
	updateReceived struct {
		term      int64
		seq       int64
		instances []InstanceUpdate
		// entries is nil if the sender runs an older version.
		entries    *EntriesRange
		snapshot   bool
		termEnded  bool
		receivedAt time.Time
		// The ages in the update are as of writtenAfter or later. It is zero if that is not known.
		writtenAfter time.Time
	}
	// orderFinished: an order was answered, timed out or failed.
	orderFinished struct {
		order      types.GroupOrder
		outcome    types.OrderOutcome
		err        error
		finishedAt time.Time
		// took is the time until the response or the failure.
		took time.Duration
	}
	// probeFinished: a probe of an instance was answered, timed out or failed.
	probeFinished struct {
		instance models.UpstreamInstance
		err      error
		sentAt   time.Time
		took     time.Duration
	}
	// stallDetected: the streams at a group's head make no progress. from is the daemon that
	// detected it, empty for this one.
	stallDetected struct {
		group models.GroupKey
		head  models.InstanceID
		from  models.DaemonID
	}
	// limitsChanged: an instance's rate limit was observed or changed.
	limitsChanged struct{}
	// signalsChanged: an instance's backoff or leaving signal was observed or changed.
	signalsChanged struct{}
)

func (limitsChanged) isMessage()     {}
func (signalsChanged) isMessage()    {}
func (updateReceived) isMessage()    {}
func (configRead) isMessage()        {}
func (instancesSnapshot) isMessage() {}
func (instancesDelta) isMessage()    {}
func (rosterRead) isMessage()        {}
func (rosterSettled) isMessage()     {}
func (storeCallFailed) isMessage()   {}
func (leaseHeld) isMessage()         {}
func (leaseLost) isMessage()         {}
func (heartbeatReceived) isMessage() {}
func (configReceived) isMessage()    {}
func (peerDisconnected) isMessage()  {}
func (orderFinished) isMessage()     {}
func (probeFinished) isMessage()     {}
func (stallDetected) isMessage()     {}
