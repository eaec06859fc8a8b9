package planner

import (
	"fmt"
	"maps"
	"slices"

	"github.com/lupinkeel/lupinkeel/models"
)

// ExplainFree explains to an operator why an instance that could take work belongs to no group.
// It follows the decisions of Plan on the same input.
func ExplainFree(in Input, i models.Instance) string {
	p := newRound(in)
	for _, proposal := range Plan(in) {
		if proposal.RendezvousKey == string(i.Domain) {
			return fmt.Sprintf("a change of fabric domain %s is under way", i.Domain)
		}
	}
	target := p.target()
	if !p.ready(i.ID) {
		return "it keeps going away and coming back"
	}
	for _, name := range slices.Sorted(maps.Keys(in.State.Models)) {
		m := in.State.Models[name]
		if target.total(name) < m.Replicas && m.Placement.Allows(i.Zone, i.Domain) {
			return fmt.Sprintf("model %s wants %d members and fabric domain %s has %d free", name, m.Members, i.Domain, len(p.freeInstances(i.Domain, m)))
		}
	}
	return "every model has the replicas that it wants where the instance may serve"
}
