package state

import (
	"fmt"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// CheckpointPartLen is how many bytes of a state one part carries at most.
// It keeps a part well below MaxRecordLen.
const MaxCheckpointPartLen = 256 << 10

// SplitCheckpoint makes the records that carry a marshalled state. newID
// gives each a fresh id.
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

// checkpointKey tells the checkpoints of racing writers apart.
type checkpointKey struct {
	author models.DaemonID
	at     models.Offset
	parts  int
}

// JoinCheckpoint returns the newest state of which all parts are among the
// encoded records, and the offset it was taken at; 0 if there is none.
// Records that are not parts are passed over.
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
	var whole []byte
	for part := range newest.parts {
		whole = append(whole, parts[newest][part]...)
	}
	return newest.at, whole
}

// Restore reads a marshalled state and checks that it was taken at the
// offset.
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
