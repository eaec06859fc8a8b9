package state

import (
	"errors"
	"fmt"
	"slices"

	"github.com/lupinkeel/lupinkeel/models"
)

// Reasons for which Apply rejects a record. Outcome.Rejection wraps one of them, or
// ErrUndecodable.
var (
	// ErrDuplicate: a record with this ID has already been applied.
	ErrDuplicate = errors.New("already applied")
	// ErrStale: the record is based on an outdated revision.
	ErrStale = errors.New("changed in the meantime")
	// ErrUnknown: the record refers to an entity that doesn't exist.
	ErrUnknown = errors.New("not found")
	// ErrInUse: the record uses an instance or a group ID that is not available.
	ErrInUse = errors.New("in use")
	// ErrInvalid: the record holds an invalid value.
	ErrInvalid = errors.New("not valid")
)

// Outcome is the result of applying one record. It is the same on every daemon.
type Outcome struct {
	Offset models.Offset
	Record models.RecordID
	// Rejection is why the record was rejected; nil if it took effect.
	Rejection error
	Events    []Event
}

// Event is a change that a record made: one of the types in this package with an event
// method.
type Event interface{ event() }

type (
	// ConfigChanged is the event of an accepted ChangeConfig.
	ConfigChanged struct{ Operator models.OperatorName }
	// GroupFormed is the event of a new group.
	GroupFormed struct {
		Group  models.Group
		Reason string
	}
	// GroupRetired is the event of a group that takes no new requests any longer.
	GroupRetired struct {
		Group  models.Group
		Reason string
	}
	// GroupEnded is the event of a removed group.
	GroupEnded struct {
		Group  models.Group
		Reason string
	}
	// DaemonJoined is the event of a daemon, or its new incarnation, that joined the roster.
	DaemonJoined struct{ Daemon models.Daemon }
	// DaemonLeft is the event of a daemon that was removed from the roster.
	DaemonLeft struct {
		Daemon models.Daemon
		Reason string
	}
)

func (ConfigChanged) event() {}
func (GroupFormed) event()   {}
func (GroupRetired) event()  {}
func (GroupEnded) event()    {}
func (DaemonJoined) event()  {}
func (DaemonLeft) event()    {}

// ErrGap is returned by Apply for an offset that doesn't follow the last applied one.
var ErrGap = errors.New("offset out of order")

// Apply applies the record at the given offset. It returns ErrGap, and changes nothing,
// unless the offset follows the last applied one.
func (s *State) Apply(offset models.Offset, data []byte) (Outcome, error) {
	if offset != s.Applied+1 {
		return Outcome{}, fmt.Errorf("%w: got %d after %d", ErrGap, offset, s.Applied)
	}
	s.Applied = offset
	rec, err := Decode(data)
	if err != nil {
		return Outcome{Offset: offset, Rejection: err}, nil
	}
	out := Outcome{Offset: offset, Record: rec.ID}
	if _, duplicate := s.seenIDs[rec.ID]; duplicate {
		out.Rejection = ErrDuplicate
		return out, nil
	}
	s.rememberID(rec.ID)
	out.Events, out.Rejection = s.applyBody(offset, rec)
	return out, nil
}

func (s *State) applyBody(offset models.Offset, rec Record) ([]Event, error) {
	switch body := rec.Body.(type) {
	case ChangeConfig:
		return s.applyChangeConfig(offset, rec, body)
	case FormGroup:
		return s.applyFormGroup(offset, body)
	case RetireGroup:
		return s.applyRetireGroup(offset, body)
	case EndGroup:
		return s.applyEndGroup(body)
	case JoinDaemon:
		return s.applyJoinDaemon(offset, body)
	case LeaveDaemon:
		return s.applyLeaveDaemon(body)
	case ClaimKeys:
		return s.applyClaimKeys(body), nil
	case ReleaseKeys:
		s.applyReleaseKeys(body)
		return nil, nil
	case CheckpointPart:
		return nil, nil
	default:
		panic(fmt.Sprintf("state: unknown body %T", rec.Body))
	}
}

func (s *State) applyFormGroup(offset models.Offset, form FormGroup) ([]Event, error) {
	g := form.Group
	model, ok := s.Models[g.Model]
	if !ok {
		return nil, fmt.Errorf("%w: model %s", ErrUnknown, g.Model)
	}
	if model.Revision != form.ModelRevision {
		return nil, fmt.Errorf("%w: model %s is at revision %d, the author saw %d",
			ErrStale, g.Model, model.Revision, form.ModelRevision)
	}
	if err := checkGroup(g, model); err != nil {
		return nil, err
	}
	if _, exists := s.Groups[g.ID]; exists {
		return nil, fmt.Errorf("%w: group %s exists", ErrInUse, g.ID)
	}
	for _, ref := range form.Replaces {
		if _, err := s.resolveGroup(ref); err != nil {
			return nil, err
		}
	}
	for _, m := range g.Members {
		if err := s.checkAvailable(m.ID, form.Replaces); err != nil {
			return nil, err
		}
	}
	var events []Event
	for _, ref := range form.Replaces {
		events = append(events, GroupEnded{Group: s.Groups[ref.ID], Reason: form.Reason})
		s.removeGroup(ref.ID)
	}
	g.Fence, g.Retiring = offset, 0
	s.addGroup(g)
	return append(events, GroupFormed{Group: g, Reason: form.Reason}), nil
}

func checkGroup(g models.Group, model models.Model) error {
	if err := models.CheckName(g.ID); err != nil {
		return fmt.Errorf("%w: group: %w", ErrInvalid, err)
	}
	if g.Version != model.Version {
		return fmt.Errorf("%w: model %s serves version %s, not %s", ErrInvalid, g.Model, model.Version, g.Version)
	}
	if len(g.Members) != model.Members {
		return fmt.Errorf("%w: model %s needs %d members, not %d", ErrInvalid, g.Model, model.Members, len(g.Members))
	}
	if !model.Placement.Allows(g.Zone, g.Domain) {
		return fmt.Errorf("%w: model %s may not stand in zone %s, fabric domain %s", ErrInvalid, g.Model, g.Zone, g.Domain)
	}
	ids := map[models.InstanceID]bool{}
	for _, m := range g.Members {
		if ids[m.ID] {
			return fmt.Errorf("%w: instance %s is listed twice", ErrInvalid, m.ID)
		}
		ids[m.ID] = true
	}
	return nil
}

func (s *State) checkAvailable(id models.InstanceID, replaced []GroupRef) error {
	if _, drained := s.Drained[id]; drained {
		return fmt.Errorf("%w: instance %s is drained", ErrInUse, id)
	}
	owner, owned := s.owner[id]
	if !owned || slices.ContainsFunc(replaced, func(r GroupRef) bool { return r.ID == owner }) {
		return nil
	}
	return fmt.Errorf("%w: instance %s belongs to group %s", ErrInUse, id, owner)
}

// resolveGroup returns the group that ref refers to. It returns ErrStale if the group has
// been formed again since the author saw it.
func (s *State) resolveGroup(ref GroupRef) (models.Group, error) {
	g, ok := s.Groups[ref.ID]
	if !ok {
		return models.Group{}, fmt.Errorf("%w: group %s", ErrUnknown, ref.ID)
	}
	if g.Fence != ref.Fence {
		return models.Group{}, fmt.Errorf("%w: group %s has fence %d, the author saw %d", ErrStale, ref.ID, g.Fence, ref.Fence)
	}
	return g, nil
}

func (s *State) applyRetireGroup(offset models.Offset, retire RetireGroup) ([]Event, error) {
	g, err := s.resolveGroup(retire.Group)
	if err != nil {
		return nil, err
	}
	if g.Retiring != 0 {
		return nil, fmt.Errorf("%w: group %s retires already", ErrStale, g.ID)
	}
	g.Retiring = offset
	s.Groups[g.ID] = g
	return []Event{GroupRetired{Group: g, Reason: retire.Reason}}, nil
}

func (s *State) applyEndGroup(end EndGroup) ([]Event, error) {
	g, err := s.resolveGroup(end.Group)
	if err != nil {
		return nil, err
	}
	s.removeGroup(g.ID)
	return []Event{GroupEnded{Group: g, Reason: end.Reason}}, nil
}

func (s *State) applyJoinDaemon(offset models.Offset, join JoinDaemon) ([]Event, error) {
	d := join.Daemon
	if err := models.CheckName(d.ID); err != nil {
		return nil, fmt.Errorf("%w: daemon: %w", ErrInvalid, err)
	}
	if current := s.Daemons[d.ID]; current.Incarnation != join.PreviousIncarnation {
		return nil, fmt.Errorf("%w: daemon %s is at incarnation %d, the author saw %d",
			ErrStale, d.ID, current.Incarnation, join.PreviousIncarnation)
	}
	d.Joined = offset
	s.Daemons[d.ID] = d
	return []Event{DaemonJoined{Daemon: d}}, nil
}

func (s *State) applyLeaveDaemon(leave LeaveDaemon) ([]Event, error) {
	d, ok := s.Daemons[leave.ID]
	if !ok {
		return nil, fmt.Errorf("%w: daemon %s", ErrUnknown, leave.ID)
	}
	if d.Incarnation != leave.Incarnation {
		return nil, fmt.Errorf("%w: daemon %s has come back", ErrStale, leave.ID)
	}
	delete(s.Daemons, leave.ID)
	return []Event{DaemonLeft{Daemon: d, Reason: leave.Reason}}, nil
}
