// Package planner decides about replica groups: whether a group may serve,
// and which groups to form, repair and end. Its functions are pure: they see
// the agreed state, evidence about instances and a time, and return what
// should be done and why.
package planner

import (
	"fmt"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// Evidence is what a daemon knows of one instance beside the agreed state.
type Evidence struct {
	// Seen is the latest time at which the instance is known to have been
	// as Status says; zero if it never was seen.
	Seen time.Time
	// Watched is when the daemon began to ask, or began anew after it was
	// paused itself: silence before that proves nothing.
	Watched time.Time
	Status  types.EngineStatus
	// Silent counts the questions in a row that went unanswered.
	Silent int
}

// Away is how long the instance is known not to have answered.
func (e Evidence) Away(now time.Time) time.Duration {
	since := e.Seen
	if e.Watched.After(since) {
		since = e.Watched
	}
	return now.Sub(since)
}

// Gate tells whether a group may take requests.
type Gate struct {
	// OpenUntil is the time at which the gate closes unless newer evidence
	// comes; it lies in the past for a group that may not serve.
	OpenUntil time.Time
	// Why tells an operator what keeps the gate closed; empty when every
	// member is in place.
	Why string
	// Load is what the first member reported.
	Load types.Load
}

// Open reports whether the group may take a request now.
func (g Gate) Open(now time.Time) bool { return now.Before(g.OpenUntil) }

// GateOf decides the gate of a group: it is open until the evidence about
// any of the members is older than the bound. A silent, wrong or unloaded
// member closes it at once.
func GateOf(g models.Group, evidence map[models.InstanceID]Evidence, bound time.Duration) Gate {
	gate := Gate{Load: evidence[g.Members[0].ID].Status.Load}
	if g.Retiring != 0 {
		gate.Why = "it is being retired"
		return gate
	}
	var oldest time.Time
	for _, m := range g.Members {
		e, known := evidence[m.ID]
		if !known || e.Seen.IsZero() {
			gate.Why = fmt.Sprintf("member %s has not been seen", m.ID)
			return gate
		}
		if why := memberFault(g, m, e); why != "" {
			gate.Why = why
			return gate
		}
		if oldest.IsZero() || e.Seen.Before(oldest) {
			oldest = e.Seen
		}
	}
	gate.OpenUntil = oldest.Add(bound)
	return gate
}

func memberFault(g models.Group, m models.Member, e Evidence) string {
	s := e.Status
	switch {
	case e.Silent > 0:
		return fmt.Sprintf("member %s does not answer", m.ID)
	case s.Group != g.ID || s.Fence != g.Fence:
		return fmt.Sprintf("member %s has not joined the group", m.ID)
	case s.Model != g.Model && s.Phase == types.PhaseLoaded, s.Version != g.Version && s.Phase == types.PhaseLoaded:
		return fmt.Sprintf("member %s holds %s %s", m.ID, s.Model, s.Version)
	case s.Phase != types.PhaseLoaded:
		return fmt.Sprintf("member %s is %s", m.ID, s.Phase)
	default:
		return ""
	}
}
