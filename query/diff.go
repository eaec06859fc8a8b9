package query

import (
	"slices"
	"strings"

	"github.com/lupinkeel/lupinkeel/state"
)

// Effective returns the operations without those that would change nothing, so that applying
// a file a second time makes no change.
func Effective(s *state.State, ops []state.Op) []state.Op {
	return slices.DeleteFunc(slices.Clone(ops), func(op state.Op) bool { return isUnchanged(s, op) })
}

// isUnchanged reports whether the operation would leave the state as it is. It compares
// entities in their printed form, so that nil and empty lists are equal.
func isUnchanged(s *state.State, op state.Op) bool {
	switch op := op.(type) {
	case state.PutModel:
		current, exists := s.Models[op.Model.Name]
		return exists && printModel(current) == printModel(op.Model)
	case state.PutWorkspace:
		current, exists := s.Workspaces[op.Workspace.Name]
		return exists && printWorkspace(current) == printWorkspace(op.Workspace)
	case state.PutService:
		current, exists := s.Services[op.Service.Name]
		return exists && printService(current) == printService(op.Service)
	case state.PutOperator:
		current, exists := s.Operators[op.Operator.Name]
		return exists && printOperator(current) == printOperator(op.Operator)
	case state.PutPolicy:
		return s.Policy.DowntimeWeight == op.Policy.DowntimeWeight && s.Policy.StrandedWeight == op.Policy.StrandedWeight
	case state.DrainInstance:
		_, drained := s.Drained[op.Instance]
		return drained
	default:
		return false
	}
}

// Prune returns changes that remove all entities and drains that the given changes don't
// set. Together, they make the given changes the complete configuration.
func Prune(s *state.State, changes []*Change) []*Change {
	declared := map[string]bool{}
	for _, c := range changes {
		if c.Set != nil {
			declared[c.Set.Kind+" "+c.Set.Name] = true
		}
		if c.Drain != "" {
			declared["instance "+c.Drain] = true
		}
	}
	var out []*Change
	for _, name := range sortedKeys(s.Workspaces) {
		out = append(out, removeUndeclared(declared, "workspace", string(name))...)
	}
	for _, name := range sortedKeys(s.Models) {
		out = append(out, removeUndeclared(declared, "model", string(name))...)
	}
	for _, name := range sortedKeys(s.Services) {
		out = append(out, removeUndeclared(declared, "service", string(name))...)
	}
	for _, name := range sortedKeys(s.Operators) {
		out = append(out, removeUndeclared(declared, "operator", string(name))...)
	}
	for _, id := range sortedKeys(s.Drained) {
		if !declared["instance "+string(id)] {
			out = append(out, &Change{Undrain: string(id)})
		}
	}
	return out
}

func removeUndeclared(declared map[string]bool, kind, name string) []*Change {
	if declared[kind+" "+name] {
		return nil
	}
	return []*Change{{Remove: &Remove{Kind: kind, Name: name}}}
}

// Diff returns the lines of the configuration that differ: removed lines begin with "- ",
// added lines with "+ ".
func Diff(before, after *state.State) string {
	oldLines := strings.SplitAfter(Print(before), "\n")
	newLines := strings.SplitAfter(Print(after), "\n")
	var b strings.Builder
	for _, line := range oldLines {
		if !slices.Contains(newLines, line) {
			b.WriteString("- " + line)
		}
	}
	for _, line := range newLines {
		if !slices.Contains(oldLines, line) {
			b.WriteString("+ " + line)
		}
	}
	return b.String()
}
