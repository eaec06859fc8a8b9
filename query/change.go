package query

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/state"
)

// Errors of changes with valid syntax.
var (
	ErrUnknownAttr = errors.New("no such value")
	ErrBadAttr     = errors.New("bad value")
	ErrNotFound    = errors.New("not found")
)

// Keywords that denote an empty list.
const (
	keywordAny  = "any"
	keywordNone = "none"
)

// Compile compiles changes into operations on the configuration of the state. Each operation
// is based on the entity's revision in that state, unless the change gives a revision
// ("at revision"). Several changes of one entity apply on top of each other.
func Compile(s *state.State, changes []*Change) ([]state.Op, error) {
	c := &compiler{state: s, draft: newDraft(s)}
	for _, change := range changes {
		if err := c.compile(change); err != nil {
			return nil, fmt.Errorf("line %d: %w", change.Pos.Line, err)
		}
	}
	return c.ops, nil
}

type compiler struct {
	state *state.State
	draft draft
	ops   []state.Op
}

// draft holds the entities after the changes compiled so far.
type draft struct {
	models     map[models.ModelName]models.Model
	workspaces map[models.WorkspaceName]models.Workspace
	services   map[models.ServiceName]models.Service
	operators  map[models.OperatorName]models.Operator
}

func newDraft(s *state.State) draft {
	return draft{
		models: copyMap(s.Models), workspaces: copyMap(s.Workspaces),
		services: copyMap(s.Services), operators: copyMap(s.Operators),
	}
}

func copyMap[K comparable, V any](m map[K]V) map[K]V {
	out := make(map[K]V, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

func (c *compiler) compile(change *Change) error {
	switch {
	case change.Set != nil:
		return c.set(change.Set, change.Base)
	case change.Remove != nil:
		return c.remove(change.Remove, change.Base)
	case change.Allow != nil:
		return c.allow(change.Allow, change.Base)
	case change.Limit != nil:
		return c.limit(change.Limit, change.Base)
	case change.Weigh != nil:
		p := models.Policy{DowntimeWeight: change.Weigh.Downtime, StrandedWeight: change.Weigh.Stranded}
		c.ops = append(c.ops, state.PutPolicy{Base: baseRevision(change.Base, c.state.Policy.Revision), Policy: p})
	case change.Drain != "":
		id := models.InstanceID(change.Drain)
		c.ops = append(c.ops, state.DrainInstance{Base: baseRevision(change.Base, c.state.Drained[id].Revision), Instance: id})
	default:
		id := models.InstanceID(change.Undrain)
		c.ops = append(c.ops, state.UndrainInstance{Base: baseRevision(change.Base, c.state.Drained[id].Revision), Instance: id})
	}
	return nil
}

func baseRevision(override *uint64, current models.Revision) models.Revision {
	if override != nil {
		return models.Revision(*override)
	}
	return current
}

func (c *compiler) set(set *Set, baseOverride *uint64) error {
	switch set.Kind {
	case "model":
		m, exists := c.draft.models[models.ModelName(set.Name)]
		if !exists {
			m = models.Model{Name: models.ModelName(set.Name), Members: 1, Replicas: 1}
		}
		if err := setAttrs(set.Attrs, modelAttrs(&m)); err != nil {
			return err
		}
		c.putModel(m, baseOverride)
	case "workspace":
		w, exists := c.draft.workspaces[models.WorkspaceName(set.Name)]
		if !exists {
			w = models.Workspace{Name: models.WorkspaceName(set.Name), Share: 1}
		}
		if err := setAttrs(set.Attrs, workspaceAttrs(&w)); err != nil {
			return err
		}
		c.putWorkspace(w, baseOverride)
	case "service":
		v := c.draft.services[models.ServiceName(set.Name)]
		v.Name = models.ServiceName(set.Name)
		if err := setAttrs(set.Attrs, placeAttrs(&v.Placement)); err != nil {
			return err
		}
		c.draft.services[v.Name] = v
		c.ops = append(c.ops, state.PutService{Base: baseRevision(baseOverride, c.state.Services[v.Name].Revision), Service: v})
	default:
		o, exists := c.draft.operators[models.OperatorName(set.Name)]
		if !exists {
			o = models.Operator{Name: models.OperatorName(set.Name), Right: models.RightAsk}
		}
		if err := setAttrs(set.Attrs, operatorAttrs(&o)); err != nil {
			return err
		}
		c.draft.operators[o.Name] = o
		c.ops = append(c.ops, state.PutOperator{Base: baseRevision(baseOverride, c.state.Operators[o.Name].Revision), Operator: o})
	}
	return nil
}

func (c *compiler) putModel(m models.Model, baseOverride *uint64) {
	c.draft.models[m.Name] = m
	c.ops = append(c.ops, state.PutModel{Base: baseRevision(baseOverride, c.state.Models[m.Name].Revision), Model: m})
}

func (c *compiler) putWorkspace(w models.Workspace, baseOverride *uint64) {
	c.draft.workspaces[w.Name] = w
	c.ops = append(c.ops, state.PutWorkspace{Base: baseRevision(baseOverride, c.state.Workspaces[w.Name].Revision), Workspace: w})
}

func (c *compiler) remove(r *Remove, baseOverride *uint64) error {
	switch r.Kind {
	case "model":
		name := models.ModelName(r.Name)
		delete(c.draft.models, name)
		c.ops = append(c.ops, state.DropModel{Base: baseRevision(baseOverride, c.state.Models[name].Revision), Name: name})
	case "workspace":
		name := models.WorkspaceName(r.Name)
		delete(c.draft.workspaces, name)
		c.ops = append(c.ops, state.DropWorkspace{Base: baseRevision(baseOverride, c.state.Workspaces[name].Revision), Name: name})
	case "service":
		name := models.ServiceName(r.Name)
		delete(c.draft.services, name)
		c.ops = append(c.ops, state.DropService{Base: baseRevision(baseOverride, c.state.Services[name].Revision), Name: name})
	default:
		name := models.OperatorName(r.Name)
		delete(c.draft.operators, name)
		c.ops = append(c.ops, state.DropOperator{Base: baseRevision(baseOverride, c.state.Operators[name].Revision), Name: name})
	}
	return nil
}

func (c *compiler) workspace(name string) (models.Workspace, error) {
	w, exists := c.draft.workspaces[models.WorkspaceName(name)]
	if !exists {
		return w, fmt.Errorf("%w: workspace %s", ErrNotFound, name)
	}
	// The lists are shared with the state and must not be modified in place.
	w.Models, w.Services = slices.Clone(w.Models), slices.Clone(w.Services)
	return w, nil
}

func (c *compiler) allow(a *Allow, baseOverride *uint64) error {
	w, err := c.workspace(a.Workspace)
	if err != nil {
		return err
	}
	for _, name := range a.Names {
		if a.Kind == "service" {
			w.Services = addOrRemove(w.Services, models.ServiceName(name), a.Verb == "allow")
			continue
		}
		rule, err := models.ParseModelRule(name)
		if err != nil {
			return err
		}
		w.Models = addOrRemove(w.Models, rule, a.Verb == "allow")
	}
	c.putWorkspace(w, baseOverride)
	return nil
}

func addOrRemove[T comparable](list []T, value T, add bool) []T {
	list = slices.DeleteFunc(list, func(v T) bool { return v == value })
	if add {
		list = append(list, value)
	}
	return list
}

func (c *compiler) limit(l *Limit, baseOverride *uint64) error {
	w, err := c.workspace(l.Workspace)
	if err != nil {
		return err
	}
	if err := setAttrs(l.Attrs, limitAttrs(&w)); err != nil {
		return err
	}
	c.putWorkspace(w, baseOverride)
	return nil
}

// setter sets an attribute of an entity.
type setter func(values []string) error

func setAttrs(attrs []*Attr, known map[string]setter) error {
	for _, a := range attrs {
		set, ok := known[a.Key]
		if !ok {
			return fmt.Errorf("%w: %s; allowed are %s", ErrUnknownAttr, a.Key, strings.Join(sortedKeys(known), ", "))
		}
		if err := set(a.Values); err != nil {
			return fmt.Errorf("column %d: %s: %w", a.Pos.Column, a.Key, err)
		}
	}
	return nil
}

func modelAttrs(m *models.Model) map[string]setter {
	attrs := placeAttrs(&m.Placement)
	attrs["version"] = setSingle(&m.Version)
	attrs["members"] = setInt(&m.Members)
	attrs["replicas"] = setInt(&m.Replicas)
	return attrs
}

func limitAttrs(w *models.Workspace) map[string]setter {
	return map[string]setter{"share": setInt(&w.Share), "concurrent": setInt(&w.Concurrent)}
}

func workspaceAttrs(w *models.Workspace) map[string]setter {
	attrs := placeAttrs(&w.Placement)
	for key, set := range limitAttrs(w) {
		attrs[key] = set
	}
	attrs["tokens"] = setList(&w.Tokens, keywordNone)
	attrs["services"] = setList(&w.Services, keywordNone)
	attrs["models"] = func(values []string) error {
		var names []string
		if err := setList(&names, keywordNone)(values); err != nil {
			return err
		}
		w.Models = nil
		for _, name := range names {
			rule, err := models.ParseModelRule(name)
			if err != nil {
				return err
			}
			w.Models = append(w.Models, rule)
		}
		return nil
	}
	return attrs
}

func operatorAttrs(o *models.Operator) map[string]setter {
	return map[string]setter{"right": setSingle(&o.Right), "tokens": setList(&o.Tokens, keywordNone)}
}

func placeAttrs(p *models.PlacementRule) map[string]setter {
	return map[string]setter{"zones": setList(&p.Zones, keywordAny), "domains": setList(&p.Domains, keywordAny)}
}

func setSingle[S ~string](field *S) setter {
	return func(values []string) error {
		if len(values) != 1 {
			return fmt.Errorf("%w: takes one value", ErrBadAttr)
		}
		*field = S(values[0])
		return nil
	}
}

func setInt(field *int) setter {
	return func(values []string) error {
		if len(values) != 1 {
			return fmt.Errorf("%w: takes one value", ErrBadAttr)
		}
		n, err := strconv.Atoi(values[0])
		if err != nil {
			return fmt.Errorf("%w: %q is no number", ErrBadAttr, values[0])
		}
		*field = n
		return nil
	}
}

// setList returns a setter for a list. The single value emptyKeyword denotes the empty
// list.
func setList[S ~string](field *[]S, emptyKeyword string) setter {
	return func(values []string) error {
		if len(values) == 1 && values[0] == emptyKeyword {
			*field = nil
			return nil
		}
		list := make([]S, 0, len(values))
		for _, v := range values {
			if slices.Contains(list, S(v)) {
				return fmt.Errorf("%w: %q is listed twice", ErrBadAttr, v)
			}
			list = append(list, S(v))
		}
		*field = list
		return nil
	}
}
