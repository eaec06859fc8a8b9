package state

import (
	"fmt"
	"maps"

	"github.com/lupinkeel/lupinkeel/models"
)

// applyChangeConfig applies all operations of a change or none, and adds an audit entry in
// both cases.
func (s *State) applyChangeConfig(offset models.Offset, rec Record, change ChangeConfig) ([]Event, error) {
	next := s.draftConfig()
	err := next.applyOps(offset, change.Ops)
	entry := models.AuditEntry{
		Offset: offset, At: rec.At, Operator: change.Operator, Daemon: rec.Author,
		Change: change.Text, Note: change.Note,
	}
	if err != nil {
		entry.RejectionReason = err.Error()
	}
	s.appendAudit(entry)
	if err != nil {
		return nil, err
	}
	s.setConfig(offset, next)
	return []Event{ConfigChanged{Operator: change.Operator}}, nil
}

func (s *State) setConfig(offset models.Offset, c *draftConfig) {
	s.Models, s.Workspaces, s.Services = c.models, c.workspaces, c.services
	s.Operators, s.Policy, s.Drained = c.operators, c.policy, c.drained
	s.ConfigOffset = offset
}

// Preview returns the state after the operations if they were applied next, or the reason
// for which they would be rejected.
func (s *State) Preview(ops []Op) (*State, error) {
	c := s.draftConfig()
	if err := c.applyOps(s.Applied+1, ops); err != nil {
		return nil, err
	}
	next := s.Clone()
	next.setConfig(s.Applied+1, c)
	return next, nil
}

func (s *State) appendAudit(entry models.AuditEntry) {
	s.Audit = append(s.Audit, entry)
	if len(s.Audit) > MaxAuditEntries {
		s.Audit = s.Audit[1:]
	}
}

// draftConfig is a copy of the declared configuration to which a change is applied.
type draftConfig struct {
	models     map[models.ModelName]models.Model
	workspaces map[models.WorkspaceName]models.Workspace
	services   map[models.ServiceName]models.Service
	operators  map[models.OperatorName]models.Operator
	policy     models.Policy
	drained    map[models.InstanceID]models.Drain
	// changed holds the entities that this change has already modified. Further operations
	// on them aren't checked against the author's revision.
	changed map[string]bool
}

func (s *State) draftConfig() *draftConfig {
	return &draftConfig{
		models:     maps.Clone(s.Models),
		workspaces: maps.Clone(s.Workspaces),
		services:   maps.Clone(s.Services),
		operators:  maps.Clone(s.Operators),
		policy:     s.Policy,
		drained:    maps.Clone(s.Drained),
		changed:    map[string]bool{},
	}
}

func (c *draftConfig) applyOps(offset models.Offset, ops []Op) error {
	if len(ops) == 0 {
		return fmt.Errorf("%w: the change is empty", ErrInvalid)
	}
	for _, op := range ops {
		if err := c.applyOp(offset, op); err != nil {
			return err
		}
	}
	return c.checkReferences()
}

func (c *draftConfig) applyOp(offset models.Offset, op Op) error {
	switch op := op.(type) {
	case PutModel:
		m := op.Model
		m.Revision = offset
		return put(c, "model", c.models, m.Name, m, op.Base, c.models[m.Name].Revision, m.Check())
	case DropModel:
		return drop(c, "model", c.models, op.Name, op.Base, c.models[op.Name].Revision)
	case PutWorkspace:
		w := op.Workspace
		w.Revision = offset
		return put(c, "workspace", c.workspaces, w.Name, w, op.Base, c.workspaces[w.Name].Revision, w.Check())
	case DropWorkspace:
		return drop(c, "workspace", c.workspaces, op.Name, op.Base, c.workspaces[op.Name].Revision)
	case PutService:
		v := op.Service
		v.Revision = offset
		return put(c, "service", c.services, v.Name, v, op.Base, c.services[v.Name].Revision, v.Check())
	case DropService:
		return drop(c, "service", c.services, op.Name, op.Base, c.services[op.Name].Revision)
	case PutOperator:
		o := op.Operator
		o.Revision = offset
		return put(c, "operator", c.operators, o.Name, o, op.Base, c.operators[o.Name].Revision, o.Check())
	case DropOperator:
		return drop(c, "operator", c.operators, op.Name, op.Base, c.operators[op.Name].Revision)
	case PutPolicy:
		if err := c.checkBase("policy", op.Base, c.policy.Revision); err != nil {
			return err
		}
		if err := op.Policy.Check(); err != nil {
			return fmt.Errorf("%w: policy: %w", ErrInvalid, err)
		}
		c.policy = op.Policy
		c.policy.Revision = offset
		return nil
	case DrainInstance:
		d := models.Drain{Instance: op.Instance, Revision: offset}
		return put(c, "drain of", c.drained, op.Instance, d, op.Base, c.drained[op.Instance].Revision, models.CheckName(op.Instance))
	case UndrainInstance:
		return drop(c, "drain of", c.drained, op.Instance, op.Base, c.drained[op.Instance].Revision)
	default:
		panic(fmt.Sprintf("state: unknown operation %T", op))
	}
}

func put[K ~string, V any](c *draftConfig, entityKind string, entities map[K]V, name K, value V, base, current models.Revision, invalid error) error {
	if invalid != nil {
		return fmt.Errorf("%w: %s %s: %w", ErrInvalid, entityKind, name, invalid)
	}
	if err := c.checkBase(entityKind+" "+string(name), base, current); err != nil {
		return err
	}
	entities[name] = value
	return nil
}

func drop[K ~string, V any](c *draftConfig, entityKind string, entities map[K]V, name K, base, current models.Revision) error {
	if _, ok := entities[name]; !ok {
		return fmt.Errorf("%w: %s %s", ErrUnknown, entityKind, name)
	}
	if err := c.checkBase(entityKind+" "+string(name), base, current); err != nil {
		return err
	}
	delete(entities, name)
	return nil
}

// Conflict is the ErrStale of a change that is based on an outdated revision of an entity.
type Conflict struct {
	Entity  string
	Current models.Revision
	Base    models.Revision
}

// Error returns a message with both revisions.
func (c *Conflict) Error() string {
	return fmt.Sprintf("%v: %s is at revision %d, the change is based on %d", ErrStale, c.Entity, c.Current, c.Base)
}

// Unwrap returns ErrStale.
func (c *Conflict) Unwrap() error { return ErrStale }

func (c *draftConfig) checkBase(entity string, base, current models.Revision) error {
	if c.changed[entity] {
		return nil
	}
	if base != current {
		return &Conflict{Entity: entity, Current: current, Base: base}
	}
	c.changed[entity] = true
	return nil
}

// checkReferences returns ErrInvalid if a workspace may use a model or service that is not
// declared.
func (c *draftConfig) checkReferences() error {
	for _, w := range sorted(c.workspaces) {
		for _, r := range w.Models {
			if _, ok := c.models[r.Model]; !ok {
				return fmt.Errorf("%w: workspace %s uses model %s, which is not declared", ErrInvalid, w.Name, r.Model)
			}
		}
		for _, name := range w.Services {
			if _, ok := c.services[name]; !ok {
				return fmt.Errorf("%w: workspace %s uses service %s, which is not declared", ErrInvalid, w.Name, name)
			}
		}
	}
	return nil
}
