package measure

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/planner"
	"github.com/lupinkeel/lupinkeel/state"
)

// naiveTimeout is the fixed time after which the naive planner gives a
// member up.
const naiveTimeout = 10 * time.Second

// naivePlan ends a group whose member is away or leaving, after a fixed
// timeout, and forms new groups from free instances, first fit.
func naivePlan(in planner.Input) []planner.Proposal {
	var out []planner.Proposal
	have := map[models.ModelName]int{}
	away := func(id models.InstanceID) bool {
		e, known := in.Evidence[id]
		return !known || (!e.UnansweredSince.IsZero() && e.UnreachableFor(in.Now) > naiveTimeout)
	}
	for _, id := range slices.Sorted(maps.Keys(in.State.Groups)) {
		g := in.State.Groups[id]
		if slices.ContainsFunc(g.Members, func(m models.Member) bool { return away(m.ID) }) {
			out = append(out, planner.Proposal{Body: state.EndGroup{Group: state.GroupRef{ID: g.ID, Fence: g.Fence}, Reason: "a member is away"}})
			continue
		}
		have[g.Model]++
	}
	free := map[models.Domain][]models.Member{}
	for _, id := range slices.Sorted(maps.Keys(in.Instances)) {
		i := in.Instances[id]
		if _, owned := in.State.Owner(id); !owned && in.Evidence[id].UnansweredSince.IsZero() && !in.Evidence[id].LastSeen.IsZero() && !i.Leaving {
			free[i.Domain] = append(free[i.Domain], models.Member{ID: id, Accelerators: i.Accelerators, ChecksFences: true})
		}
	}
	n := 0
	for _, name := range slices.Sorted(maps.Keys(in.State.Models)) {
		m := in.State.Models[name]
		for _, d := range slices.Sorted(maps.Keys(free)) {
			for have[name] < m.Replicas && len(free[d]) >= m.Members {
				n++
				g := models.Group{
					ID: models.GroupID(fmt.Sprintf("%s-%d.%d", name, in.State.Applied+1, n)), Model: name, Version: m.Version,
					Zone: "z", Domain: d, Members: free[d][:m.Members],
				}
				free[d] = free[d][m.Members:]
				have[name]++
				out = append(out, planner.Proposal{Body: state.FormGroup{Group: g, ModelRevision: m.Revision}})
			}
		}
	}
	return out
}
