package types

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Entry is one record of a log stream with its offset.
type Entry struct {
	Offset models.Offset `json:"offset" msgpack:"o"`
	Data   []byte        `json:"data" msgpack:"d"`
}

// Append is a record to append to a stream. It is retried until the deadline.
type Append struct {
	Stream   string
	Record   models.RecordID
	Data     []byte
	Deadline time.Time
}
