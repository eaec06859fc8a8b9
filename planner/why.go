package planner

import (
	"fmt"
	"maps"
	"slices"

	"github.com/lupinkeel/lupinkeel/models"
)

// WhyFree tells an operator why an instance that could take work belongs to
// no group. It follows the decisions of Plan on the same input.
func WhyFree(in Input, i models.Instance) string {
	p := &round{Input: in, taken: map[models.InstanceID]bool{}}
	for _, proposal := range Plan(in) {
		if proposal.Key == string(i.Domain) {
			return fmt.Sprintf("a change of fabric domain %s is under way", i.Domain)
		}
	}
	free := len(p.free(i.Domain))
	have := p.wantedGroups()
	for _, name := range slices.Sorted(maps.Keys(in.State.Models)) {
		m := in.State.Models[name]
		if have[name] < m.Replicas && m.Place.Allows(i.Zone, i.Domain) {
			return fmt.Sprintf("model %s wants %d members and fabric domain %s has %d free", name, m.Members, i.Domain, free)
		}
	}
	return "every model has the replicas that it wants where the instance may serve"
}
