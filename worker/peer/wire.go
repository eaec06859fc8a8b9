// Package peer exchanges status between daemons: each sends heartbeats to some others over TCP.
// The response carries the receiver's status, statuses of other daemons (gossip) and, if
// requested, the log records that the sender lacks.
package peer

import (
	"time"

	"github.com/lupinkeel/lupinkeel/lib/frame"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

const (
	kindHeartbeat frame.Kind = iota + 1
	kindResponse
)

// Heartbeat is the message that a daemon sends to another.
type Heartbeat struct {
	From types.PeerStatus `msgpack:"f"`
	// After requests the records after this offset if WantRecords is set.
	After       models.Offset `msgpack:"o"`
	WantRecords bool          `msgpack:"w"`
	// Silent lists instances that do not answer the sender.
	Silent []models.InstanceID `msgpack:"s,omitempty"`
}

// Response is the reply to a heartbeat.
type Response struct {
	Status types.PeerStatus `msgpack:"s"`
	// Gossip holds the statuses of other daemons that the responder has received recently.
	Gossip []GossipEntry `msgpack:"h,omitempty"`
	// Observations are the responder's observations of instances in Heartbeat.Silent.
	Observations []types.Observation `msgpack:"v,omitempty"`
	// Records follow the requested offset. Snapshot is sent instead if the responder no longer
	// keeps them.
	Records  []types.Entry `msgpack:"r,omitempty"`
	Snapshot []byte        `msgpack:"st,omitempty"`
}

// GossipEntry is the status of a daemon as another daemon received it.
type GossipEntry struct {
	Status types.PeerStatus `msgpack:"s"`
	// Age is how long before the response the status was last known to be true.
	Age time.Duration `msgpack:"a"`
}
