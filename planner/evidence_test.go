package planner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/planner"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

func TestGate(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const maxAge = 2 * time.Second
	g := models.Group{
		ID: "g", Model: "m", Version: "v1", Fence: 7,
		Members: []models.Member{{ID: "a"}, {ID: "b"}},
	}
	loaded := planner.Evidence{LastSeen: now, Status: types.EngineStatus{Group: "g", Fence: 7, Model: "m", Version: "v1", Phase: types.PhaseLoaded}}
	with := func(change func(*planner.Evidence)) planner.Evidence {
		e := loaded
		change(&e)
		return e
	}
	joining := with(func(e *planner.Evidence) { e.Status.Phase = types.PhaseJoining })
	silent := with(func(e *planner.Evidence) { e.UnansweredSince = now.Add(time.Millisecond) })
	for _, test := range []struct {
		name     string
		a, b     planner.Evidence
		open     bool
		why      string
		retiring models.Offset
	}{
		{"all members loaded", loaded, loaded, true, "", 0},
		{"never seen", loaded, planner.Evidence{}, false, "member b has not been seen", 0},
		{"silent", loaded, silent, false, "member b does not answer", 0},
		{"silent, but seen by another daemon since", loaded, with(func(e *planner.Evidence) { e.UnansweredSince = now.Add(-time.Second) }), true, "", 0},
		{"evidence too old", loaded, with(func(e *planner.Evidence) { e.LastSeen = now.Add(-maxAge) }), false, "", 0},
		{"at an old fence", loaded, with(func(e *planner.Evidence) { e.Status.Fence = 6 }), false, "member b has not joined the group", 0},
		{"loading", loaded, with(func(e *planner.Evidence) { e.Status.Phase = types.PhaseLoading }), false, "member b is loading", 0},
		{"wrong weights", loaded, with(func(e *planner.Evidence) { e.Status.Version = "v2" }), false, "member b holds m v2", 0},
		{"first member joining", joining, loaded, false, "member a is joining", 0},
		{"first member joining, other member silent", joining, silent, false, "member b does not answer", 0},
		{"retiring", loaded, loaded, false, "it is being retired", 9},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			group := g
			group.Retiring = test.retiring
			gate := planner.GateOf(group, map[models.InstanceID]planner.Evidence{"a": test.a, "b": test.b}, maxAge)
			c.Assert(gate.Open(now), qt.Equals, test.open)
			c.Assert(gate.Reason, qt.Equals, test.why)
		})
	}
}
