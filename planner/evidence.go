// Package planner manages replica groups: it decides whether a group may serve, and which
// groups to form, repair and end. Its functions are pure: from the replicated state, the
// evidence about instances and the current time they compute what to do and why.
package planner

import (
	"fmt"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// Evidence is what a daemon has observed of one instance, in addition to the replicated
// state.
type Evidence struct {
	// LastSeen is the latest time at which the instance is known to have had Status; zero if
	// it has never been seen.
	LastSeen time.Time
	// ProbedSince is when the daemon started probing the instance, or restarted after the
	// daemon's own process was paused. Missing replies before that time prove nothing.
	ProbedSince time.Time
	Status      types.EngineStatus
	// LastReply is when the instance last answered a probe of this daemon; LastSeen may have
	// been reported by another daemon.
	LastReply time.Time
	// UnansweredSince is the time of this daemon's first unanswered probe since LastReply; zero
	// if there is none.
	UnansweredSince time.Time
	// Flaps counts how often the instance became unreachable and returned; old
	// flaps expire. Returned is when it last returned.
	Flaps    int
	Returned time.Time
}

// Silent reports whether the instance has stopped answering this daemon's probes and no
// daemon has seen it since.
func (e Evidence) Silent() bool {
	return !e.UnansweredSince.IsZero() && !e.LastSeen.After(e.UnansweredSince)
}

// alive reports whether the instance responds according to evidence not older than maxAge.
func (e Evidence) alive(now time.Time, maxAge time.Duration) bool {
	return !e.LastSeen.IsZero() && !e.Silent() && now.Sub(e.LastSeen) <= maxAge
}

const (
	// flapHoldDown is the base of the time for which a flapping instance must be back
	// before it gets work. It doubles with each flap, at most maxFlapDoublings times.
	flapHoldDown     = time.Second
	maxFlapDoublings = 5
	// minHoldDown is how long a flapping instance must be back before it gets work for which no
	// other instance is left. It is that after two flaps.
	minHoldDown = flapHoldDown << 2
)

// stable reports whether the instance may be given work: it doesn't flap, or its hold-down
// time since the last return has passed.
func (e Evidence) stable(now time.Time) bool {
	if e.Flaps < 2 {
		return true
	}
	holdDown := flapHoldDown << min(e.Flaps, maxFlapDoublings)
	return now.Sub(e.Returned) >= holdDown
}

// returned reports whether the instance may be given work for which no stable one is left.
func (e Evidence) returned(now time.Time) bool {
	return e.stable(now) || now.Sub(e.Returned) >= minHoldDown
}

// hasWeights reports whether the instance has loaded this version of the model.
func (e Evidence) hasWeights(m models.Model) bool {
	return e.Status.Model == m.Name && e.Status.Version == m.Version
}

// UnreachableFor returns how long the instance is known to have been unreachable.
func (e Evidence) UnreachableFor(now time.Time) time.Duration {
	last := e.LastSeen
	if e.ProbedSince.After(last) {
		last = e.ProbedSince
	}
	return now.Sub(last)
}

// Gate holds until when a group may take requests, and why it may not.
type Gate struct {
	// OpenUntil is the time at which the gate closes unless newer evidence arrives. It is
	// the zero time for a group that may not serve.
	OpenUntil time.Time
	// Reason is what keeps the gate closed, for operators; empty if every member has joined
	// the group and loaded its weights.
	Reason string
	// Load is the load that the first member reported.
	Load types.Load
}

// Open reports whether the group may take a request now.
func (g Gate) Open(now time.Time) bool { return now.Before(g.OpenUntil) }

// GateOf computes the gate of a group. It is open until the evidence about any of the
// members is older than maxAge. A member that doesn't answer, hasn't joined the group or
// hasn't loaded the right weights closes it at once.
func GateOf(g models.Group, evidence map[models.InstanceID]Evidence, maxAge time.Duration) Gate {
	gate := Gate{Load: evidence[g.Members[0].ID].Status.Load}
	if g.Retiring != 0 {
		gate.Reason = "it is being retired"
		return gate
	}
	var oldest time.Time
	for _, m := range g.Members {
		e, known := evidence[m.ID]
		if !known || e.LastSeen.IsZero() {
			gate.Reason = fmt.Sprintf("member %s has not been seen", m.ID)
			return gate
		}
		// A joining member only waits for the others, so a fault of another member takes
		// precedence in the reason.
		joining := e.Status.Phase == types.PhaseJoining
		if fault := memberFault(g, m, e); fault != "" && (gate.Reason == "" || !joining) {
			gate.Reason = fault
			if !joining {
				return gate
			}
		}
		if oldest.IsZero() || e.LastSeen.Before(oldest) {
			oldest = e.LastSeen
		}
	}
	if gate.Reason == "" {
		gate.OpenUntil = oldest.Add(maxAge)
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
