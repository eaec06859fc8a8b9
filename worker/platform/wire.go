// Package platform is the client of the operators' platform: its append-only log and its list of
// upstream instances. Everything that depends on the platform's protocol is in this folder.
package platform

import (
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// Log streams that the system uses.
const (
	// StreamState carries the records of package state.
	StreamState = "state"
	// StreamCheckpoint carries checkpoints of the state, in parts.
	StreamCheckpoint = "checkpoint"
	// StreamTrail carries batches of trail entries, which record how requests ended.
	StreamTrail = "trail"
)

// AppendResponse is the log's response to an append.
type AppendResponse struct {
	Offset models.Offset `json:"offset"`
}

// ReadResponse is the log's response to a read. With status 410 only First is set: older records
// have expired.
type ReadResponse struct {
	First   models.Offset `json:"first"`
	Next    models.Offset `json:"next"`
	Entries []types.Entry `json:"entries,omitempty"`
}

// ListResponse is the platform's list of instances.
type ListResponse struct {
	Instances []models.Instance `json:"instances"`
}
