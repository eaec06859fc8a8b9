// Package state is the replicated state: a deterministic state machine over the records of
// the platform's log. All daemons apply the same records in the same order and so have the
// same state, which Digest verifies. The package reads no clock, uses no random numbers and
// does no I/O.
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
	// ID is the same in every attempt to append the record.
	ID     models.RecordID
	Author models.DaemonID
	// At is the author's wall clock time. It is only displayed to operators.
	At   time.Time
	Body Body
}

// Body is the content of a record: one of the types in this package with a body method.
type Body interface{ body() }

// ChangeConfig changes the declared configuration. Its operations are applied atomically.
type ChangeConfig struct {
	Operator models.OperatorName `msgpack:"w"`
	Note     string              `msgpack:"n"`
	// Text is the change as the operator wrote it, for the audit trail.
	Text string `msgpack:"t"`
	Ops  []Op   `msgpack:"-"`
}

// FormGroup ends the groups in Replaces and forms a group. Its members must belong to no
// group or to a replaced one.
type FormGroup struct {
	Group models.Group `msgpack:"g"`
	// ModelRevision is the revision of the model in the author's state.
	ModelRevision models.Revision `msgpack:"r"`
	// Replaces lists the groups that the new group replaces.
	Replaces []GroupRef `msgpack:"x"`
	Reason   string     `msgpack:"w"`
}

// RetireGroup drains a group: it finishes its requests and takes no new ones.
type RetireGroup struct {
	Group  GroupRef `msgpack:"g"`
	Reason string   `msgpack:"w"`
}

// EndGroup ends a group and frees its instances.
type EndGroup struct {
	Group  GroupRef `msgpack:"g"`
	Reason string   `msgpack:"w"`
}

// GroupRef identifies a group as it is in the author's state.
type GroupRef struct {
	ID    models.GroupID `msgpack:"i"`
	Fence models.Fence   `msgpack:"f"`
}

// JoinDaemon adds a daemon to the roster, or replaces it by its new incarnation.
type JoinDaemon struct {
	Daemon models.Daemon `msgpack:"d"`
	// PreviousIncarnation is the incarnation of the daemon in the author's state, 0 if it wasn't on
	// the roster.
	PreviousIncarnation uint64 `msgpack:"w"`
}

// LeaveDaemon removes an incarnation of a daemon from the roster.
type LeaveDaemon struct {
	ID          models.DaemonID `msgpack:"i"`
	Incarnation uint64          `msgpack:"n"`
	Reason      string          `msgpack:"w"`
}

// CheckpointPart carries one part of a checkpoint of the state. Apply skips it; a daemon
// reads it at startup.
type CheckpointPart struct {
	// At is the offset of the last record applied to the state in the checkpoint.
	At models.Offset `msgpack:"a"`
	// Part is the index of the part, from 0 to Parts-1.
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

// ErrUndecodable is returned for bytes that can't be decoded.
var ErrUndecodable = errors.New("not a record")

// MaxRecordLen is the maximum length of an encoded record in bytes.
const MaxRecordLen = 1 << 20

// kind identifies the type of a record body or an operation. The numbers are part of the log
// format and never change their meaning.
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

// Encode encodes a record for the log.
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

// Decode decodes a record. It returns ErrUndecodable if data is not a record.
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
