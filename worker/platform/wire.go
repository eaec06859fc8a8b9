// Package platform speaks to the operators' platform: its append-only log,
// its list of upstream instances. Everything that depends on the platform's
// own protocol is in this folder.
package platform

import (
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// Streams of the log that the system uses.
const (
	// StreamState carries the records of package state.
	StreamState = "state"
	// StreamCheckpoint carries checkpoints of the whole state, in parts.
	StreamCheckpoint = "checkpoint"
	// StreamTrail carries batches of what became of requests.
	StreamTrail = "trail"
)

// AppendAnswer is what the log answers to an append.
type AppendAnswer struct {
	Offset models.Offset `json:"offset"`
}

// ReadAnswer is what the log answers to a read. With status 410 it holds
// only First: the records before it have expired.
type ReadAnswer struct {
	First   models.Offset `json:"first"`
	Next    models.Offset `json:"next"`
	Entries []types.Entry `json:"entries,omitempty"`
}

// ListAnswer is the platform's list of instances.
type ListAnswer struct {
	Instances []models.Instance `json:"instances"`
}
