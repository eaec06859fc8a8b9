package cluster

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
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
	}
	// instancesRead: all entries of instances were read.
	instancesRead struct {
		records []platform.KeyedRecord
		asked   time.Time
	}
	// instancesChanged: these entries were written since the last reading.
	instancesChanged struct {
		records []platform.KeyedRecord
		asked   time.Time
	}
	// rosterRead: these entries of daemons are the newest.
	rosterRead struct{ records []platform.KeyedRecord }
	// storeAway: a reading of the store failed.
	storeAway struct {
		what string
		err  error
	}
	// leaseHeld: this node plans the replica groups until the given time.
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
	// orderEnded: an order was answered, or was not.
	orderEnded struct {
		order   types.GroupOrder
		outcome types.OrderOutcome
		err     error
		at      time.Time
	}
	// reportEnded: an instance was asked how it is.
	reportEnded struct {
		instance models.UpstreamInstance
		err      error
		asked    time.Time
	}
	// stalled: nothing moves at a group's head. It was found by another
	// daemon if from is set.
	stalled struct {
		group models.GroupKey
		head  models.InstanceID
		from  models.DaemonID
	}
)

// newsSeen: the daemon that plans told of instances.
type newsSeen struct {
	term      int64
	feed      int64
	instances []InstanceNews
	at        time.Time
}

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

// Heartbeat is what a daemon tells every other one.
type Heartbeat struct {
	From        models.DaemonID `msgpack:"id"`
	Incarnation int64           `msgpack:"in"`
	// ConfigVersion is the version in force, ConfigAge how long ago it was
	// known to be the newest.
	ConfigVersion int64         `msgpack:"cv"`
	ConfigAge     time.Duration `msgpack:"ca"`
	// Term is that of the planner that the daemon believes in.
	Term int64 `msgpack:"t"`
	// Wants names a daemon that is to hand its configuration over, since it
	// has a newer one.
	Wants models.DaemonID `msgpack:"w2"`
	// Power is the part of a core that the daemon may use.
	Power float64 `msgpack:"p"`
	// Stalled are heads at which nothing moves.
	Stalled []StalledHead `msgpack:"s"`
	// Work is what the daemon's callers ask of each model, in seconds of a
	// replica group for each second.
	Work map[models.ModelName]float64 `msgpack:"w"`
}

// StalledHead names a head at which nothing moves.
type StalledHead struct {
	Group models.GroupKey   `msgpack:"g"`
	Head  models.InstanceID `msgpack:"h"`
}

// ConfigCopy is a configuration handed from one daemon to another.
type ConfigCopy struct {
	Version int64         `msgpack:"v"`
	Age     time.Duration `msgpack:"a"`
	Data    []byte        `msgpack:"d"`
}

// rosterEntry is what a daemon writes of itself into the store.
type rosterEntry struct {
	Zone        models.Zone `msgpack:"z"`
	Addr        string      `msgpack:"a"`
	Incarnation int64       `msgpack:"i"`
}
