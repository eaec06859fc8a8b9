// Package types holds the messages by which the workers, which speak to the
// outside, tell a daemon's owner what they saw. Data flows one way: a worker
// never changes what the owner holds.
package types

import (
	"context"
	"net/netip"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Message is one of the types below.
type Message interface{ message() }

// LogRead tells that a read of the state stream that began at Began was
// answered: the stream held nothing from Next on at that time or later.
type LogRead struct {
	StartedAt time.Time
	Entries   []Entry
	Next      models.Offset
}

// LogExpired tells that the offset wanted next is no longer on the log.
type LogExpired struct{ First models.Offset }

// LogAway tells that a read of the log failed.
type LogUnavailable struct{ Err error }

// AppendEnded tells what the log answered to an append. Err is nil once the
// log has taken the record.
type AppendResult struct {
	Append Append
	Offset models.Offset
	// Ambiguous tells that a try may have taken effect although Err is set.
	Ambiguous bool
	Err       error
}

// CheckpointRead carries the newest whole checkpoint on the log.
type CheckpointRead struct {
	Offset   models.Offset
	Snapshot []byte
}

// CheckpointWritten tells how writing a checkpoint ended.
type CheckpointWritten struct {
	Offset models.Offset
	Bytes  int
	Err    error
}

// ListRead carries the platform's list of instances.
type ListRead struct{ Instances []models.Instance }

// ListAway tells that the list could not be read.
type ListUnavailable struct{ Err error }

// InstanceSeen carries an instance's own word. It was true at some time
// after Asked.
type InstanceSeen struct {
	Instance models.InstanceID
	Addr     netip.AddrPort
	SentAt   time.Time
	Status   EngineStatus
}

// ServiceSeen tells that a plain service's instance accepted a connection
// at some time after Asked.
type ServiceSeen struct {
	Instance models.InstanceID
	SentAt   time.Time
}

// InstanceSilent tells that an instance did not answer a question sent at
// Asked in time.
type InstanceSilent struct {
	Instance models.InstanceID
	SentAt   time.Time
	Err      error
}

// OrderEnded tells what an instance answered to an order.
type OrderResult struct {
	Dispatch Dispatch
	Err      error
}

// PeerSeen carries what another daemon told in answer to a heartbeat that
// was sent at Asked.
type PeerSeen struct {
	SentAt time.Time
	Status PeerStatus
}

// PeerSilent tells that the daemon at the address did not answer in time.
type PeerSilent struct {
	Addr netip.AddrPort
	Err  error
}

// PeerVouched carries what another daemon saw of instances. Ages count from
// Asked back.
type PeerObservations struct {
	SentAt       time.Time
	Observations []Observation
}

// Vouch is one instance as another daemon saw it.
type Observation struct {
	Age    time.Duration `msgpack:"a"`
	Status EngineStatus  `msgpack:"s"`
}

// PeerRecords carries records that another daemon relayed.
type PeerRecords struct {
	From    models.DaemonID
	Entries []Entry
}

// PeerState carries a whole state from another daemon.
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

// PeerStatus is what a daemon tells others of itself with each heartbeat.
type PeerStatus struct {
	//lint:ignore U1000 The codec reads it: fields go without their names.
	_msgpack struct{} `msgpack:",as_array"`

	ID          models.DaemonID `msgpack:"i"`
	Incarnation uint64          `msgpack:"n"`
	Zone        models.Zone     `msgpack:"z"`
	Addr        netip.AddrPort  `msgpack:"a"`
	Applied     models.Offset   `msgpack:"o"`
	Config      models.Offset   `msgpack:"c"`
	// LogAge is how long ago the daemon last knew from the log that it had
	// folded all there was; negative if it never did.
	LogAge time.Duration `msgpack:"l"`
	// Serving tells that the daemon takes new requests.
	Serving bool `msgpack:"s"`
}

// Send delivers a message unless the context ends first.
func Send(ctx context.Context, out chan<- Message, msg Message) {
	select {
	case out <- msg:
	case <-ctx.Done():
	}
}
