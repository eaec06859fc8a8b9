package state

import (
	"fmt"
	"maps"

	"github.com/lupinkeel/lupinkeel/models"
)

// applyChange applies all operations of a change or none, and notes either
// in the audit trail.
func (s *State) applyChange(offset models.Offset, rec Record, change ChangeConfig) ([]Event, error) {
	next := s.config()
	err := next.applyOps(offset, change.Ops)
	entry := models.AuditEntry{
		Offset: offset, At: rec.At, Operator: change.Operator, Daemon: rec.Author,
		Change: change.Text, Note: change.Note,
	}
	if err != nil {
		entry.Refused = err.Error()
	}
	s.addAudit(entry)
	if err != nil {
		return nil, err
	}
	s.setConfig(offset, next)
	return []Event{ConfigChanged{Operator: change.Operator}}, nil
}

func (s *State) setConfig(offset models.Offset, c *config) {
	s.Models, s.Workspaces, s.Services = c.models, c.workspaces, c.services
	s.Operators, s.Policy, s.Drained = c.operators, c.policy, c.drained
	s.ConfigOffset = offset
}

// Preview returns the state as the operations would leave it if they came
// next, or the reason for which they would be refused.
func (s *State) Preview(ops []Op) (*State, error) {
	c := s.config()
	if err := c.applyOps(s.Applied+1, ops); err != nil {
		return nil, err
	}
	next := s.Clone()
	next.setConfig(s.Applied+1, c)
	return next, nil
}

func (s *State) addAudit(entry models.AuditEntry) {
	s.Audit = append(s.Audit, entry)
	if len(s.Audit) > KeptAudit {
		s.Audit = s.Audit[1:]
	}
}

// config is a scratch copy of what operators declare.
type config struct {
	models     map[models.ModelName]models.Model
	workspaces map[models.WorkspaceName]models.Workspace
	services   map[models.ServiceName]models.Service
	operators  map[models.OperatorName]models.Operator
	policy     models.Policy
	drained    map[models.InstanceID]models.Drain
	// touched tells whether this change has changed an entity already; a
	// second change to it is not checked against the author's revision.
	touched map[string]bool
}

func (s *State) config() *config {
	return &config{
		models:     maps.Clone(s.Models),
		workspaces: maps.Clone(s.Workspaces),
		services:   maps.Clone(s.Services),
		operators:  maps.Clone(s.Operators),
		policy:     s.Policy,
		drained:    maps.Clone(s.Drained),
		touched:    map[string]bool{},
	}
}

func (c *config) applyOps(offset models.Offset, ops []Op) error {
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

func (c *config) applyOp(offset models.Offset, op Op) error {
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

func put[K ~string, V any](c *config, what string, all map[K]V, name K, value V, base, present models.Revision, bad error) error {
	if bad != nil {
		return fmt.Errorf("%w: %s %s: %w", ErrInvalid, what, name, bad)
	}
	if err := c.checkBase(what+" "+string(name), base, present); err != nil {
		return err
	}
	all[name] = value
	return nil
}

func drop[K ~string, V any](c *config, what string, all map[K]V, name K, base, present models.Revision) error {
	if _, ok := all[name]; !ok {
		return fmt.Errorf("%w: %s %s", ErrUnknown, what, name)
	}
	if err := c.checkBase(what+" "+string(name), base, present); err != nil {
		return err
	}
	delete(all, name)
	return nil
}

// Conflict is the ErrStale of a change whose author had not seen an entity's
// present revision.
type Conflict struct {
	Entity  string
	Present models.Revision
	Base    models.Revision
}

// Error tells both revisions.
func (c *Conflict) Error() string {
	return fmt.Sprintf("%v: %s is at revision %d, the change is based on %d", ErrStale, c.Entity, c.Present, c.Base)
}

// Unwrap makes a conflict an ErrStale.
func (c *Conflict) Unwrap() error { return ErrStale }

func (c *config) checkBase(entity string, base, present models.Revision) error {
	if c.touched[entity] {
		return nil
	}
	if base != present {
		return &Conflict{Entity: entity, Present: present, Base: base}
	}
	c.touched[entity] = true
	return nil
}

// checkReferences refuses a configuration in which a workspace may use a
// model or service that is not declared.
func (c *config) checkReferences() error {
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
