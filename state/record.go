// Package state is the agreed state: a pure, deterministic fold over the
// records of the platform's log. Every daemon folds the same records in the
// same order and so holds the same state; Digest proves it. The package
// reads no clock, draws no random numbers and does no input or output.
package state

import (
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/lupinkeel/lupinkeel/lib/pack"
	"github.com/lupinkeel/lupinkeel/models"
)

// Record is one entry of the log.
type Record struct {
	// ID is the same in every try to append the record.
	ID     models.RecordID
	Author models.DaemonID
	// At is the author's wall clock. It is shown to operators and decides
	// nothing.
	At   time.Time
	Body Body
}

// Body is what a record asks for: one of the types in this file.
type Body interface{ body() }

// ChangeConfig changes the declared configuration. All of its operations
// take effect or none does.
type ChangeConfig struct {
	Operator models.OperatorName `msgpack:"w"`
	Note     string              `msgpack:"n"`
	// Text is the change as the operator wrote it, for the audit trail.
	Text string `msgpack:"t"`
	Ops  []Op   `msgpack:"-"`
}

// FormGroup forms a group of instances that belong to no other group once
// the replaced groups have ended.
type FormGroup struct {
	Group models.Group `msgpack:"g"`
	// ModelRevision is the revision of the model that the author saw.
	ModelRevision models.Revision `msgpack:"r"`
	// Replaces are groups that end as this one forms.
	Replaces []GroupRef `msgpack:"x"`
	Reason   string     `msgpack:"w"`
}

// RetireGroup lets a group finish its requests and take no new ones.
type RetireGroup struct {
	Group  GroupRef `msgpack:"g"`
	Reason string   `msgpack:"w"`
}

// EndGroup ends a group; its instances are free.
type EndGroup struct {
	Group  GroupRef `msgpack:"g"`
	Reason string   `msgpack:"w"`
}

// GroupRef names a group as its author saw it.
type GroupRef struct {
	ID    models.GroupID `msgpack:"i"`
	Fence models.Fence   `msgpack:"f"`
}

// JoinDaemon adds a daemon to the roster, or its new incarnation.
type JoinDaemon struct {
	Daemon models.Daemon `msgpack:"d"`
	// Was is the incarnation that the author saw under this name, 0 for
	// none.
	Was uint64 `msgpack:"w"`
}

// LeaveDaemon takes an incarnation of a daemon off the roster.
type LeaveDaemon struct {
	ID          models.DaemonID `msgpack:"i"`
	Incarnation uint64          `msgpack:"n"`
	Reason      string          `msgpack:"w"`
}

// CheckpointPart carries one part of a checkpoint of the whole state. The
// fold skips it; a daemon that starts reads it.
type CheckpointPart struct {
	// At is the offset of the last record folded into the checkpoint.
	At models.Offset `msgpack:"a"`
	// Part counts from 0 to Parts-1.
	Part  int    `msgpack:"p"`
	Parts int    `msgpack:"n"`
	Data  []byte `msgpack:"d"`
}

func (ChangeConfig) body()   {}
func (FormGroup) body()      {}
func (RetireGroup) body()    {}
func (EndGroup) body()       {}
func (JoinDaemon) body()     {}
func (LeaveDaemon) body()    {}
func (CheckpointPart) body() {}

// ErrUndecodable is returned for bytes that are no record.
var ErrUndecodable = errors.New("not a record")

// MaxRecordLen is the longest encoded record accepted, in bytes.
const MaxRecordLen = 1 << 20

// kind numbers are part of the log's format and never change their meaning.
type kind uint8

const (
	kindChangeConfig kind = iota + 1
	kindFormGroup
	kindRetireGroup
	kindEndGroup
	kindJoinDaemon
	kindLeaveDaemon
	kindCheckpointPart
	kindClaimKeys
	kindReleaseKeys
)

type wireRecord struct {
	ID     models.RecordID    `msgpack:"i"`
	Author models.DaemonID    `msgpack:"a"`
	At     time.Time          `msgpack:"t"`
	Kind   kind               `msgpack:"k"`
	Body   msgpack.RawMessage `msgpack:"b"`
	Ops    []wireOp           `msgpack:"o,omitempty"`
}

type wireOp struct {
	Kind kind               `msgpack:"k"`
	Body msgpack.RawMessage `msgpack:"b"`
}

// Encode writes a record as it stands on the log.
func Encode(rec Record) ([]byte, error) {
	wire := wireRecord{ID: rec.ID, Author: rec.Author, At: rec.At, Kind: bodyKind(rec.Body)}
	body, err := pack.Marshal(rec.Body)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	wire.Body = body
	if change, ok := rec.Body.(ChangeConfig); ok {
		for _, op := range change.Ops {
			body, err := pack.Marshal(op)
			if err != nil {
				return nil, fmt.Errorf("encode operation: %w", err)
			}
			wire.Ops = append(wire.Ops, wireOp{Kind: opKind(op), Body: body})
		}
	}
	return pack.Marshal(wire)
}

// Decode reads a record; it returns ErrUndecodable for anything else.
func Decode(data []byte) (rec Record, err error) {
	if len(data) > MaxRecordLen {
		return Record{}, fmt.Errorf("%w: %d bytes, allowed are %d", ErrUndecodable, len(data), MaxRecordLen)
	}
	var wire wireRecord
	if err := pack.Unmarshal(data, &wire); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrUndecodable, err)
	}
	body, err := decodeBody(wire)
	if err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrUndecodable, err)
	}
	return Record{ID: wire.ID, Author: wire.Author, At: wire.At.UTC(), Body: body}, nil
}

func bodyKind(b Body) kind {
	switch b.(type) {
	case ChangeConfig:
		return kindChangeConfig
	case FormGroup:
		return kindFormGroup
	case RetireGroup:
		return kindRetireGroup
	case EndGroup:
		return kindEndGroup
	case JoinDaemon:
		return kindJoinDaemon
	case LeaveDaemon:
		return kindLeaveDaemon
	case CheckpointPart:
		return kindCheckpointPart
	case ClaimKeys:
		return kindClaimKeys
	case ReleaseKeys:
		return kindReleaseKeys
	default:
		panic(fmt.Sprintf("state: unknown body %T", b))
	}
}

func decodeBody(wire wireRecord) (Body, error) {
	switch wire.Kind {
	case kindChangeConfig:
		change, err := decodeAs[ChangeConfig](wire.Body)
		if err != nil {
			return nil, err
		}
		for _, w := range wire.Ops {
			op, err := decodeOp(w)
			if err != nil {
				return nil, err
			}
			change.Ops = append(change.Ops, op)
		}
		return change, nil
	case kindFormGroup:
		return decodeAs[FormGroup](wire.Body)
	case kindRetireGroup:
		return decodeAs[RetireGroup](wire.Body)
	case kindEndGroup:
		return decodeAs[EndGroup](wire.Body)
	case kindJoinDaemon:
		return decodeAs[JoinDaemon](wire.Body)
	case kindLeaveDaemon:
		return decodeAs[LeaveDaemon](wire.Body)
	case kindCheckpointPart:
		return decodeAs[CheckpointPart](wire.Body)
	case kindClaimKeys:
		return decodeAs[ClaimKeys](wire.Body)
	case kindReleaseKeys:
		return decodeAs[ReleaseKeys](wire.Body)
	default:
		return nil, fmt.Errorf("unknown kind %d", wire.Kind)
	}
}

func decodeAs[T any](data []byte) (T, error) {
	var value T
	err := pack.Unmarshal(data, &value)
	return value, err
}
