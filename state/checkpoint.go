package state

import (
	"fmt"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// MaxCheckpointPartLen is the maximum number of bytes in a checkpoint part. It keeps the
// encoded record well below MaxRecordLen.
const MaxCheckpointPartLen = 256 << 10

// SplitCheckpoint splits a marshalled state into CheckpointPart records. newID returns a new
// ID for each record.
func SplitCheckpoint(at models.Offset, data []byte, author models.DaemonID, now time.Time, newID func() models.RecordID) []Record {
	parts := max(1, (len(data)+MaxCheckpointPartLen-1)/MaxCheckpointPartLen)
	out := make([]Record, 0, parts)
	for part := range parts {
		chunk := data[part*MaxCheckpointPartLen : min(len(data), (part+1)*MaxCheckpointPartLen)]
		out = append(out, Record{
			ID: newID(), Author: author, At: now,
			Body: CheckpointPart{At: at, Part: part, Parts: parts, Data: chunk},
		})
	}
	return out
}

// checkpointKey distinguishes the checkpoints of concurrent writers.
type checkpointKey struct {
	author models.DaemonID
	at     models.Offset
	parts  int
}

// JoinCheckpoint returns the newest marshalled state of which all parts are among the encoded
// records, and its offset; 0 if there is none. It skips records that are not checkpoint
// parts.
func JoinCheckpoint(records [][]byte) (models.Offset, []byte) {
	parts := map[checkpointKey]map[int][]byte{}
	for _, data := range records {
		rec, err := Decode(data)
		if err != nil {
			continue
		}
		p, ok := rec.Body.(CheckpointPart)
		if !ok || p.Part < 0 || p.Part >= p.Parts {
			continue
		}
		key := checkpointKey{author: rec.Author, at: p.At, parts: p.Parts}
		if parts[key] == nil {
			parts[key] = map[int][]byte{}
		}
		parts[key][p.Part] = p.Data
	}
	var newest checkpointKey
	for key, received := range parts {
		if len(received) == key.parts && key.at > newest.at {
			newest = key
		}
	}
	var joined []byte
	for part := range newest.parts {
		joined = append(joined, parts[newest][part]...)
	}
	return newest.at, joined
}

// Restore decodes a marshalled state and checks that its offset is at.
func Restore(at models.Offset, data []byte) (*State, error) {
	s, err := Unmarshal(data)
	if err != nil {
		return nil, err
	}
	if s.Applied != at {
		return nil, fmt.Errorf("%w: the checkpoint of offset %d holds the state at %d", ErrUndecodable, at, s.Applied)
	}
	return s, nil
}
