// Package peer lets daemons hear of one another: each sends heartbeats to
// some others over TCP and gets their status back, together with what they
// heard of third daemons and, if it asks, the log records it lacks.
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

// Heartbeat is what one daemon sends.
type Heartbeat struct {
	From types.PeerStatus `msgpack:"f"`
	// After asks for the records after this offset, if WantRecords is set.
	After       models.Offset `msgpack:"o"`
	WantRecords bool          `msgpack:"w"`
	// Silent are instances that do not answer the sender.
	Silent []models.InstanceID `msgpack:"s,omitempty"`
}

// Answer is what the other sends back.
type Response struct {
	Status types.PeerStatus `msgpack:"s"`
	// Heard are the daemons that the other has heard of lately.
	Gossip []GossipEntry `msgpack:"h,omitempty"`
	// Vouches tell of the silent instances that the other has seen.
	Observations []types.Observation `msgpack:"v,omitempty"`
	// Records follow the offset asked for; State is sent instead when the
	// other does not remember them any more.
	Records  []types.Entry `msgpack:"r,omitempty"`
	Snapshot []byte        `msgpack:"st,omitempty"`
}

// Heard is one daemon's status as another heard it.
type GossipEntry struct {
	Status types.PeerStatus `msgpack:"s"`
	// Age is how long before the answer the status was true at the latest.
	Age time.Duration `msgpack:"a"`
}
