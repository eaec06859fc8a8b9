package fleet

import (
	"maps"
	"slices"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// examineGroups decides for each group that is not being made whether it
// stands.
func (r *round) examineGroups() {
	for key, g := range r.groups {
		if r.forming[key] != nil || r.ending[key] != nil || r.warms(g) {
			continue
		}
		profile, known := r.Profile.Model(g.Model)
		verdict := r.judge(g, profile, known)
		switch verdict {
		case verdictStands:
			r.settle(g.Model, slices.Collect(maps.Values(g.Members)))
		case verdictAdopt:
			r.adopt(g, profile)
		case verdictCut:
			r.end(key, g.Head, types.GroupCut)
		case verdictFinish:
			r.end(key, g.Head, types.GroupFinish)
		case verdictDissolve:
			r.end(key, g.Head, types.GroupLeave)
		case verdictLeave:
			r.leaveAll(g)
		case verdictFree:
			r.ending[key] = &ending{key: key, head: g.Head, closed: true}
		}
	}
}

type verdict int

const (
	// verdictStands: the group serves and all its members are there.
	verdictStands verdict = iota
	// verdictAdopt: it does not serve yet and may be brought to.
	verdictAdopt
	// verdictCut: it serves and nothing can come of it.
	verdictCut
	// verdictDissolve: it does not serve, nothing can come of it, and another
	// planner may have told it to open.
	verdictDissolve
	// verdictFinish: a member is leaving; what runs may end.
	verdictFinish
	// verdictLeave: it has no head.
	verdictLeave
	// verdictFree: its head is broken for good.
	verdictFree
)

// judge decides what is to become of a group; known tells whether its model is
// still configured.
func (r *round) judge(g *Group, profile models.ModelProfile, known bool) verdict {
	if g.Head == "" || r.Lost[g.Head] {
		return verdictLeave
	}
	if g.State == models.MemberBroken {
		return verdictFree
	}
	whole := known && g.complete(profile.Size)
	leaving := false
	for _, id := range g.Members {
		whole = whole && !r.Lost[id]
		leaving = leaving || r.Instances[id].Draining
	}
	serves := g.State == models.MemberOpen || g.State == models.MemberClosing
	switch {
	case (!whole || leaving) && !serves:
		return verdictDissolve
	case !whole:
		return verdictCut
	case leaving:
		return verdictFinish
	case g.State == models.MemberOpen:
		return verdictStands
	case g.State == models.MemberClosing:
		return verdictCut
	default:
		return verdictAdopt
	}
}
