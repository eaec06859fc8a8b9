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
	// Direct is when the instance last answered this daemon itself; Seen
	// may come from another daemon.
	Direct time.Time
	// SilentSince is the first of this daemon's questions since Direct that
	// went unanswered, zero if there is none.
	SilentSince time.Time
	// Absences counts how often the instance was away and came back, the
	// old ones forgotten; Returned is when it last did.
	Absences int
	Returned time.Time
}

// Silent reports whether nobody has seen the instance since it stopped
// answering this daemon.
func (e Evidence) Silent() bool {
	return !e.SilentSince.IsZero() && !e.Seen.After(e.SilentSince)
}

// present reports whether the instance is known to answer.
func (e Evidence) alive(now time.Time, bound time.Duration) bool {
	return !e.Seen.IsZero() && !e.Silent() && now.Sub(e.Seen) <= bound
}

const (
	// steadyFor is how long an instance has to be back before it counts,
	// doubled for each absence up to steadyDoublings times.
	flapHoldDown     = time.Second
	maxFlapDoublings = 5
)

// steady reports whether an instance that flaps has been back for long
// enough to be given work.
func (e Evidence) stable(now time.Time) bool {
	if e.Absences < 2 {
		return true
	}
	holdDown := flapHoldDown << min(e.Absences, maxFlapDoublings)
	return now.Sub(e.Returned) >= holdDown
}

// holds reports whether the instance has the model's weights.
func (e Evidence) hasWeights(m models.Model) bool {
	return e.Status.Model == m.Name && e.Status.Version == m.Version
}

// Away is how long the instance is known not to have answered.
func (e Evidence) Away(now time.Time) time.Duration {
	last := e.Seen
	if e.Watched.After(last) {
		last = e.Watched
	}
	return now.Sub(last)
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
		// A first member that waits for the others is not what keeps the
		// group from serving, if another member is at fault.
		joining := e.Status.Phase == types.PhaseJoining
		if fault := memberFault(g, m, e); fault != "" && (gate.Why == "" || !joining) {
			gate.Why = fault
			if !joining {
				return gate
			}
		}
		if oldest.IsZero() || e.Seen.Before(oldest) {
			oldest = e.Seen
		}
	}
	if gate.Why == "" {
		gate.OpenUntil = oldest.Add(bound)
	}
	return gate
}

func memberFault(g models.Group, m models.Member, e Evidence) string {
	s := e.Status
	switch {
	case e.Silent():
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
