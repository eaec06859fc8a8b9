// Package types defines the messages in which the workers, which do the network I/O, report to a
// daemon's owner. Data flows one way: workers never change the owner's state.
package types

import (
	"context"
	"net/netip"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Message is implemented by the message types of this package.
type Message interface{ message() }

// LogRead reports a successful read of the state stream that started at StartedAt. At that time
// or later the stream held no entry at Next or beyond.
type LogRead struct {
	StartedAt time.Time
	Entries   []Entry
	Next      models.Offset
}

// LogExpired reports that the log no longer holds the next offset wanted; First is the oldest
// offset that it holds.
type LogExpired struct{ First models.Offset }

// LogUnavailable reports that a read of the log failed.
type LogUnavailable struct{ Err error }

// AppendResult reports the result of an append. Err is nil if the log accepted the record.
type AppendResult struct {
	Append Append
	Offset models.Offset
	// Ambiguous reports that an attempt may have taken effect although Err is set.
	Ambiguous bool
	Err       error
}

// CheckpointRead carries the newest complete checkpoint on the log.
type CheckpointRead struct {
	Offset   models.Offset
	Snapshot []byte
}

// CheckpointWritten reports the result of writing a checkpoint.
type CheckpointWritten struct {
	Offset models.Offset
	Bytes  int
	Err    error
}

// ListRead carries the platform's list of instances.
type ListRead struct{ Instances []models.Instance }

// ListUnavailable reports that the list could not be read.
type ListUnavailable struct{ Err error }

// InstanceSeen carries the status that an instance reported. It was true at some time after
// SentAt, when the probe was sent.
type InstanceSeen struct {
	Instance models.InstanceID
	Addr     netip.AddrPort
	SentAt   time.Time
	Status   EngineStatus
}

// ServiceSeen reports that an instance of a plain service accepted a connection at some time
// after SentAt.
type ServiceSeen struct {
	Instance models.InstanceID
	SentAt   time.Time
}

// InstanceSilent reports that an instance did not answer the probe sent at SentAt in time.
type InstanceSilent struct {
	Instance models.InstanceID
	SentAt   time.Time
	Err      error
}

// OrderResult reports the result of an order.
type OrderResult struct {
	Dispatch Dispatch
	Err      error
}

// PeerSeen carries the status of another daemon, from the response to a heartbeat that was sent
// at SentAt. For a status received by gossip, SentAt is earlier by the age of the status.
type PeerSeen struct {
	SentAt time.Time
	Status PeerStatus
}

// PeerSilent reports that the daemon at the address did not answer a heartbeat in time.
type PeerSilent struct {
	Addr netip.AddrPort
	Err  error
}

// PeerObservations carries another daemon's observations of instances. Their ages count back from
// SentAt.
type PeerObservations struct {
	SentAt       time.Time
	Observations []Observation
}

// Observation is the status of an instance as another daemon observed it.
type Observation struct {
	Age    time.Duration `msgpack:"a"`
	Status EngineStatus  `msgpack:"s"`
}

// PeerRecords carries records relayed by another daemon.
type PeerRecords struct {
	From    models.DaemonID
	Entries []Entry
}

// PeerSnapshot carries a snapshot of the state from another daemon.
type PeerSnapshot struct {
	From     models.DaemonID
	Snapshot []byte
}

func (LogRead) message()           {}
func (LogExpired) message()        {}
func (LogUnavailable) message()    {}
func (AppendResult) message()      {}
func (CheckpointRead) message()    {}
func (CheckpointWritten) message() {}
func (ListRead) message()          {}
func (ListUnavailable) message()   {}
func (InstanceSeen) message()      {}
func (ServiceSeen) message()       {}
func (InstanceSilent) message()    {}
func (OrderResult) message()       {}
func (PeerSeen) message()          {}
func (PeerSilent) message()        {}
func (PeerObservations) message()  {}
func (PeerRecords) message()       {}
func (PeerSnapshot) message()      {}

// PeerStatus is the status that a daemon reports about itself in each heartbeat and response.
type PeerStatus struct {
	//lint:ignore U1000 The codec reads it: fields go without their names.
	_msgpack struct{} `msgpack:",as_array"`

	ID          models.DaemonID `msgpack:"i"`
	Incarnation uint64          `msgpack:"n"`
	Zone        models.Zone     `msgpack:"z"`
	Addr        netip.AddrPort  `msgpack:"a"`
	Applied     models.Offset   `msgpack:"o"`
	Config      models.Offset   `msgpack:"c"`
	// LogAge is how long ago the log last confirmed that the daemon had applied all its records;
	// negative if it never did.
	LogAge time.Duration `msgpack:"l"`
	// Serving reports whether the daemon accepts new requests.
	Serving bool `msgpack:"s"`
}

// Send delivers a message unless the context ends first.
func Send(ctx context.Context, out chan<- Message, msg Message) {
	select {
	case out <- msg:
	case <-ctx.Done():
	}
}
