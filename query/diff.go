package query

import (
	"slices"
	"strings"

	"github.com/lupinkeel/lupinkeel/state"
)

// Effective leaves out the operations that would put an entity as it is
// already. Applying a file twice changes nothing the second time.
func Effective(s *state.State, ops []state.Op) []state.Op {
	return slices.DeleteFunc(slices.Clone(ops), func(op state.Op) bool { return isPresent(s, op) })
}

// isPresent compares entities as they are printed: an empty list and none
// are the same.
func isPresent(s *state.State, op state.Op) bool {
	switch op := op.(type) {
	case state.PutModel:
		have, exists := s.Models[op.Model.Name]
		return exists && printModel(have) == printModel(op.Model)
	case state.PutWorkspace:
		have, exists := s.Workspaces[op.Workspace.Name]
		return exists && printWorkspace(have) == printWorkspace(op.Workspace)
	case state.PutService:
		have, exists := s.Services[op.Service.Name]
		return exists && printService(have) == printService(op.Service)
	case state.PutOperator:
		have, exists := s.Operators[op.Operator.Name]
		return exists && printOperator(have) == printOperator(op.Operator)
	case state.PutPolicy:
		return s.Policy.Downtime == op.Policy.Downtime && s.Policy.Stranded == op.Policy.Stranded
	case state.DrainInstance:
		_, drained := s.Drained[op.Instance]
		return drained
	default:
		return false
	}
}

// Prune returns the removals of everything that the changes do not set, so
// that the changes become the whole configuration.
func Prune(s *state.State, changes []*Change) []*Change {
	kept := map[string]bool{}
	for _, c := range changes {
		if c.Set != nil {
			kept[c.Set.Kind+" "+c.Set.Name] = true
		}
		if c.Drain != "" {
			kept["instance "+c.Drain] = true
		}
	}
	var out []*Change
	for _, name := range sortedKeys(s.Workspaces) {
		out = append(out, removal(kept, "workspace", string(name))...)
	}
	for _, name := range sortedKeys(s.Models) {
		out = append(out, removal(kept, "model", string(name))...)
	}
	for _, name := range sortedKeys(s.Services) {
		out = append(out, removal(kept, "service", string(name))...)
	}
	for _, name := range sortedKeys(s.Operators) {
		out = append(out, removal(kept, "operator", string(name))...)
	}
	for _, id := range sortedKeys(s.Drained) {
		if !kept["instance "+string(id)] {
			out = append(out, &Change{Undrain: string(id)})
		}
	}
	return out
}

func removal(kept map[string]bool, kind, name string) []*Change {
	if kept[kind+" "+name] {
		return nil
	}
	return []*Change{{Remove: &Remove{Kind: kind, Name: name}}}
}

// Diff lists the lines of the configuration that a change takes away, with
// "-" before them, and those that it brings, with "+".
func Diff(before, after *state.State) string {
	old := strings.SplitAfter(Print(before), "\n")
	next := strings.SplitAfter(Print(after), "\n")
	var b strings.Builder
	for _, line := range old {
		if !slices.Contains(next, line) {
			b.WriteString("- " + line)
		}
	}
	for _, line := range next {
		if !slices.Contains(old, line) {
			b.WriteString("+ " + line)
		}
	}
	return b.String()
}
