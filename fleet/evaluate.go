package fleet

import (
	"maps"
	"slices"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// evaluateGroups chooses and applies an action for each group that is not being formed, ended or
// warmed.
func (r *round) evaluateGroups() {
	for _, key := range sortedKeys(r.groups) {
		g := r.groups[key]
		if r.forming[key] != nil || r.ending[key] != nil || r.isWarming(g) {
			continue
		}
		profile, known := r.Profile.Model(g.Model)
		action := r.chooseAction(g, profile, known)
		switch action {
		case actionKeep:
			r.assign(g.Model, slices.Collect(maps.Values(g.Members)))
		case actionAdopt:
			r.adopt(g, profile)
		case actionCut:
			r.endGroup(key, g.Head, types.GroupStop)
		case actionFinish:
			r.endGroup(key, g.Head, types.GroupDrain)
		case actionDissolve:
			r.endGroup(key, g.Head, types.GroupLeave)
		case actionReleaseMembers:
			r.orderMembersToLeave(g)
		case actionMarkClosed:
			r.ending[key] = &ending{key: key, head: g.Head, closed: true}
		}
	}
}

type groupAction int

const (
	// actionKeep: the group serves and is complete.
	actionKeep groupAction = iota
	// actionAdopt: the group does not serve yet and can be opened.
	actionAdopt
	// actionCut: the group serves and can't go on.
	actionCut
	// actionDissolve: the group does not serve, can't be completed or adopted, and may have been
	// ordered to open by another planner.
	actionDissolve
	// actionFinish: a member is draining; requests in flight may end.
	actionFinish
	// actionReleaseMembers: the group has no reachable head.
	actionReleaseMembers
	// actionMarkClosed: the head is broken and can't recover.
	actionMarkClosed
)

// chooseAction returns the action for a group; known is false if the model is not configured any
// more.
func (r *round) chooseAction(g *Group, profile models.ModelProfile, known bool) groupAction {
	if g.Head == "" || r.Unreachable[g.Head] {
		return actionReleaseMembers
	}
	if g.State == models.MemberBroken {
		return actionMarkClosed
	}
	complete := known && g.complete(profile.GroupSize)
	draining := false
	for _, id := range g.Members {
		complete = complete && !r.Unreachable[id]
		draining = draining || r.Instances[id].Draining
	}
	serving := g.State == models.MemberOpen || g.State == models.MemberClosing
	switch {
	case (!complete || draining) && !serving:
		return actionDissolve
	case !complete:
		return actionCut
	case draining:
		return actionFinish
	case g.State == models.MemberOpen:
		return actionKeep
	case g.State == models.MemberClosing:
		return actionCut
	case !r.mayAdopt(g):
		return actionDissolve
	default:
		return actionAdopt
	}
}
