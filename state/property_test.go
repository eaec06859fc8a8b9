package state_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/state"
)

// The generators draw from few names, so that records often change the same entities, and
// from few revisions, so that many records are stale.

func genModel(t *rapid.T) models.Model {
	return models.Model{
		Name:     models.ModelName(rapid.SampledFrom([]string{"brief", "digest"}).Draw(t, "model")),
		Version:  models.Version(rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")),
		Members:  rapid.IntRange(1, 3).Draw(t, "members"),
		Replicas: rapid.IntRange(0, 3).Draw(t, "replicas"),
	}
}

func genOp(t *rapid.T, s *state.State) state.Op {
	m := genModel(t)
	w := models.Workspace{Name: "lab", Share: 1}
	base := func(current models.Revision) models.Revision {
		if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
			return models.Revision(rapid.IntRange(0, 20).Draw(t, "base"))
		}
		return current
	}
	id := models.InstanceID(fmt.Sprintf("i%d", rapid.IntRange(0, 5).Draw(t, "instance")))
	switch rapid.IntRange(0, 6).Draw(t, "op") {
	case 0, 1:
		return state.PutModel{Base: base(s.Models[m.Name].Revision), Model: m}
	case 2:
		return state.DropModel{Base: base(s.Models[m.Name].Revision), Name: m.Name}
	case 3:
		w.Models = []models.ModelRule{{Model: m.Name}}
		return state.PutWorkspace{Base: base(s.Workspaces[w.Name].Revision), Workspace: w}
	case 4:
		return state.DrainInstance{Base: base(s.Drained[id].Revision), Instance: id}
	case 5:
		return state.UndrainInstance{Base: base(s.Drained[id].Revision), Instance: id}
	default:
		return state.PutPolicy{Base: base(s.Policy.Revision), Policy: models.Policy{DowntimeWeight: 2, StrandedWeight: 1}}
	}
}

func genGroup(t *rapid.T, s *state.State) models.Group {
	m := genModel(t)
	if known, ok := s.Models[m.Name]; ok && rapid.Bool().Draw(t, "fits") {
		m = known
	}
	g := models.Group{
		ID:    models.GroupID(fmt.Sprintf("g%d", rapid.IntRange(0, 4).Draw(t, "group"))),
		Model: m.Name, Version: m.Version, Zone: "z", Domain: "d",
	}
	for range m.Members {
		id := models.InstanceID(fmt.Sprintf("i%d", rapid.IntRange(0, 5).Draw(t, "member")))
		g.Members = append(g.Members, models.Member{ID: id, Accelerators: 1})
	}
	return g
}

func genRef(t *rapid.T, s *state.State) state.GroupRef {
	id := models.GroupID(fmt.Sprintf("g%d", rapid.IntRange(0, 4).Draw(t, "ref")))
	ref := state.GroupRef{ID: id, Fence: s.Groups[id].Fence}
	if rapid.IntRange(0, 4).Draw(t, "stale fence") == 0 {
		ref.Fence--
	}
	return ref
}

func genBody(t *rapid.T, s *state.State) state.Body {
	daemon := models.Daemon{ID: "d1", Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))}
	claim := state.Claim{
		Key:     fmt.Sprintf("k%d", rapid.IntRange(0, 3).Draw(t, "key")),
		Request: models.RequestID(fmt.Sprintf("r%d", rapid.IntRange(0, 3).Draw(t, "request"))),
		At:      time.Unix(int64(rapid.IntRange(0, 2000).Draw(t, "at")), 0),
	}
	switch rapid.IntRange(0, 9).Draw(t, "body") {
	case 0, 1:
		change := state.ChangeConfig{Operator: "op", Text: "text", Note: "note"}
		for range rapid.IntRange(0, 3).Draw(t, "ops") {
			change.Ops = append(change.Ops, genOp(t, s))
		}
		return change
	case 2, 3:
		form := state.FormGroup{Group: genGroup(t, s), Reason: "test"}
		form.ModelRevision = s.Models[form.Group.Model].Revision
		if rapid.Bool().Draw(t, "replaces") {
			form.Replaces = []state.GroupRef{genRef(t, s)}
		}
		return form
	case 4:
		return state.RetireGroup{Group: genRef(t, s)}
	case 5:
		return state.EndGroup{Group: genRef(t, s)}
	case 8:
		return state.ClaimKeys{Claims: []state.Claim{claim}}
	case 9:
		return state.ReleaseKeys{Claims: []state.Claim{claim}}
	case 6:
		return state.JoinDaemon{Daemon: daemon, PreviousIncarnation: s.Daemons[daemon.ID].Incarnation}
	default:
		return state.LeaveDaemon{ID: daemon.ID, Incarnation: daemon.Incarnation}
	}
}

// genLog draws a log with duplicate, stale and undecodable records, and returns the encoded
// record at each offset.
func genLog(t *rapid.T) [][]byte {
	s := state.New()
	var log [][]byte
	for n := range rapid.IntRange(1, 60).Draw(t, "records") {
		var data []byte
		switch choice := rapid.IntRange(0, 9).Draw(t, "kind"); {
		case choice == 0 && len(log) > 0:
			data = log[rapid.IntRange(0, len(log)-1).Draw(t, "duplicate")]
		case choice == 1:
			data = rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "garbage")
		default:
			rec := state.Record{
				ID: models.RecordID(fmt.Sprint(n)), Author: "d1", At: time.Unix(int64(n), 0).UTC(), Body: genBody(t, s),
			}
			encoded, err := state.Encode(rec)
			if err != nil {
				t.Fatal(err)
			}
			data = encoded
		}
		log = append(log, data)
		if _, err := s.Apply(models.Offset(len(log)), data); err != nil {
			t.Fatal(err)
		}
	}
	return log
}

func applyAll(t *rapid.T, s *state.State, log [][]byte) {
	for n := int(s.Applied); n < len(log); n++ {
		if _, err := s.Apply(models.Offset(n+1), log[n]); err != nil {
			t.Fatal(err)
		}
		checkInvariants(t, s)
	}
}

func checkInvariants(t *rapid.T, s *state.State) {
	owner := map[models.InstanceID]models.GroupID{}
	for id, g := range s.Groups {
		for _, m := range g.Members {
			if other, owned := owner[m.ID]; owned {
				t.Fatalf("instance %s belongs to %s and %s", m.ID, other, id)
			}
			owner[m.ID] = id
			if got, _ := s.Owner(m.ID); got != id {
				t.Fatalf("instance %s of %s is indexed under %q", m.ID, id, got)
			}
		}
		if g.Fence == 0 || g.Fence > s.Applied {
			t.Fatalf("group %s has fence %d at offset %d", id, g.Fence, s.Applied)
		}
	}
	for name, m := range s.Models {
		if err := m.Check(); err != nil || m.Revision == 0 || m.Revision > s.Applied {
			t.Fatalf("model %s: revision %d, %v", name, m.Revision, err)
		}
	}
}

func digest(t *rapid.T, s *state.State) string {
	d, err := s.Digest()
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestReplayFromAnyCheckpoint checks that replaying a log from its start and from a
// checkpoint at any offset results in the same state.
func TestReplayFromAnyCheckpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := genLog(t)
		full := state.New()
		applyAll(t, full, log)

		partial := state.New()
		cut := rapid.IntRange(0, len(log)).Draw(t, "cut")
		applyAll(t, partial, log[:cut])
		data, err := partial.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		restored, err := state.Restore(models.Offset(cut), data)
		if err != nil {
			t.Fatal(err)
		}
		applyAll(t, restored, log)
		if digest(t, restored) != digest(t, full) {
			t.Fatal("the state replayed from a checkpoint differs")
		}
	})
}

// TestRejectedRecordChangesNothing checks that a rejected record changes nothing in the state
// except for the applied offset, the audit entries and the recent record IDs.
func TestRejectedRecordChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := state.New()
		for n, data := range genLog(t) {
			before := s.Clone()
			out, err := s.Apply(models.Offset(n+1), data)
			if err != nil {
				t.Fatal(err)
			}
			if out.Rejection == nil {
				continue
			}
			after := s.Clone()
			for _, c := range []*state.State{before, after} {
				c.Applied, c.Audit = 0, nil
			}
			before.ForgetIDs()
			after.ForgetIDs()
			if digest(t, before) != digest(t, after) {
				t.Fatalf("record %d was refused (%v) and changed the state", n+1, out.Rejection)
			}
		}
	})
}

func TestCheckpointParts(t *testing.T) {
	c := qt.New(t)
	data := make([]byte, 2*state.MaxCheckpointPartLen+17)
	for i := range data {
		data[i] = byte(i % 251)
	}
	ids := 0
	newID := func() models.RecordID { ids++; return models.RecordID(fmt.Sprint(ids)) }
	encode := func(recs []state.Record) [][]byte {
		var out [][]byte
		for _, r := range recs {
			b, err := state.Encode(r)
			c.Assert(err, qt.IsNil)
			out = append(out, b)
		}
		return out
	}
	first := encode(state.SplitCheckpoint(10, data, "d1", time.Time{}, newID))
	second := encode(state.SplitCheckpoint(12, data[1:], "d2", time.Time{}, newID))
	c.Assert(first, qt.HasLen, 3)

	c.Run("two concurrent writers", func(c *qt.C) {
		at, got := state.JoinCheckpoint([][]byte{first[0], second[0], first[1], second[2], second[1], first[2]})
		c.Assert(at, qt.Equals, models.Offset(12))
		c.Assert(got, qt.DeepEquals, data[1:])
	})
	c.Run("newest checkpoint incomplete", func(c *qt.C) {
		at, got := state.JoinCheckpoint([][]byte{first[0], second[0], first[1], second[2], first[2], []byte("garbage")})
		c.Assert(at, qt.Equals, models.Offset(10))
		c.Assert(got, qt.DeepEquals, data)
	})
	c.Run("no checkpoint complete", func(c *qt.C) {
		at, got := state.JoinCheckpoint([][]byte{first[0], second[1]})
		c.Assert(at, qt.Equals, models.Offset(0))
		c.Assert(got, qt.HasLen, 0)
	})
}

func FuzzDecode(f *testing.F) {
	rec := state.Record{ID: "r", Author: "d", Body: state.ChangeConfig{Ops: []state.Op{state.PutModel{Model: models.Model{Name: "m"}}}}}
	data, err := state.Encode(rec)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := state.New()
		if _, err := s.Apply(1, data); err != nil {
			t.Fatal(err)
		}
		if _, err := state.Unmarshal(data); err == nil {
			return
		}
	})
}

// TestReleasedKeyKeepsItsPlace guards against a key that is claimed again after its release and takes the
// place of its first claim in the order of expiry, unless a checkpoint was restored in between.
func TestReleasedKeyKeepsItsPlace(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1_000_000, 0).UTC()
	claim := func(key, request string, at time.Duration) []state.Claim {
		return []state.Claim{{Key: key, Request: models.RequestID(request), At: start.Add(at)}}
	}
	bodies := []state.Body{
		state.ClaimKeys{Claims: claim("k", "r1", 0)},
		state.ClaimKeys{Claims: claim("l", "r2", time.Second)},
		state.ReleaseKeys{Claims: claim("k", "r1", 0)},
		state.ClaimKeys{Claims: claim("k", "r3", 10*time.Minute)},
		state.ClaimKeys{Claims: claim("m", "r4", 16*time.Minute)},
	}
	apply := func(s *state.State, from, to int) {
		for n := from; n < to; n++ {
			data, err := state.Encode(state.Record{ID: models.RecordID(fmt.Sprint(n)), Author: "d1", At: start, Body: bodies[n]})
			c.Assert(err, qt.IsNil)
			_, err = s.Apply(models.Offset(n+1), data)
			c.Assert(err, qt.IsNil)
		}
	}
	full := state.New()
	apply(full, 0, len(bodies))
	c.Assert(full.Claims, qt.HasLen, 2, qt.Commentf("l is older than 15 minutes"))
	want, err := full.Digest()
	c.Assert(err, qt.IsNil)
	for cut := range len(bodies) + 1 {
		partial := state.New()
		apply(partial, 0, cut)
		data, err := partial.Marshal()
		c.Assert(err, qt.IsNil)
		restored, err := state.Restore(models.Offset(cut), data)
		c.Assert(err, qt.IsNil)
		apply(restored, cut, len(bodies))
		got, err := restored.Digest()
		c.Assert(err, qt.IsNil)
		c.Check(got, qt.Equals, want, qt.Commentf("restored after record %d", cut))
	}
}
