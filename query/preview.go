package query

import (
	"fmt"

	"github.com/lupinkeel/lupinkeel/planner"
	"github.com/lupinkeel/lupinkeel/state"
)

// Preview returns the changes that the planner's next round would propose in the given state.
func Preview(v View, next *state.State) Result {
	result := Result{Columns: []string{"step", "group", "domain", "reason"}}
	in := v.input()
	in.State = next
	for _, p := range planner.Plan(in) {
		switch body := p.Body.(type) {
		case state.FormGroup:
			result.Rows = append(result.Rows, []string{"form", fmt.Sprintf("%s of %d", body.Group.Model, len(body.Group.Members)), p.RendezvousKey, body.Reason})
		case state.RetireGroup:
			result.Rows = append(result.Rows, []string{"retire", string(body.Group.ID), p.RendezvousKey, body.Reason})
		case state.EndGroup:
			result.Rows = append(result.Rows, []string{"end", string(body.Group.ID), p.RendezvousKey, body.Reason})
		}
	}
	return result
}
