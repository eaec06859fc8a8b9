package query

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/state"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Print returns the configuration as commands that recreate it, one per line. Parse and
// Compile accept them.
func Print(s *state.State) string {
	var b strings.Builder
	for _, name := range sortedKeys(s.Models) {
		b.WriteString(printModel(s.Models[name]) + "\n")
	}
	for _, name := range sortedKeys(s.Services) {
		b.WriteString(printService(s.Services[name]) + "\n")
	}
	for _, name := range sortedKeys(s.Workspaces) {
		b.WriteString(printWorkspace(s.Workspaces[name]) + "\n")
	}
	for _, name := range sortedKeys(s.Operators) {
		b.WriteString(printOperator(s.Operators[name]) + "\n")
	}
	fmt.Fprintf(&b, "weigh downtime %d stranded %d\n", s.Policy.DowntimeWeight, s.Policy.StrandedWeight)
	for _, id := range sortedKeys(s.Drained) {
		fmt.Fprintf(&b, "drain instance %s\n", id)
	}
	return b.String()
}

func printModel(m models.Model) string {
	return fmt.Sprintf("set model %s version %s members %d replicas %d %s",
		m.Name, m.Version, m.Members, m.Replicas, printPlace(m.Placement))
}

func printService(v models.Service) string {
	return fmt.Sprintf("set service %s %s", v.Name, printPlace(v.Placement))
}

func printWorkspace(w models.Workspace) string {
	rules := make([]string, 0, len(w.Models))
	for _, r := range w.Models {
		rules = append(rules, r.String())
	}
	return fmt.Sprintf("set workspace %s models %s services %s share %d concurrent %d tokens %s %s",
		w.Name, joinValues(rules, keywordNone), joinValues(w.Services, keywordNone), w.Share, w.Concurrent,
		joinValues(w.Tokens, keywordNone), printPlace(w.Placement))
}

func printOperator(o models.Operator) string {
	return fmt.Sprintf("set operator %s right %s tokens %s", o.Name, o.Right, joinValues(o.Tokens, keywordNone))
}

func printPlace(p models.PlacementRule) string {
	return fmt.Sprintf("zones %s domains %s", joinValues(p.Zones, keywordAny), joinValues(p.Domains, keywordAny))
}

func joinValues[S ~string](values []S, emptyKeyword string) string {
	if len(values) == 0 {
		return emptyKeyword
	}
	out := make([]string, 0, len(values))
	for _, v := range values {
		out = append(out, string(v))
	}
	return strings.Join(out, ", ")
}
