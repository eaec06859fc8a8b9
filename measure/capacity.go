package measure

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/daemon"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/planner"
	"github.com/lupinkeel/lupinkeel/site"
	"github.com/lupinkeel/lupinkeel/standin"
	"github.com/lupinkeel/lupinkeel/state"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// CapacityOptions size the measurement of what daemons cost.
type CapacityOptions struct {
	// Daemons and Instances are the points of the two slopes.
	Daemons   []int
	Instances []int
	// Groups are the points of the slopes of the agreed state.
	Groups []int
	// Window is how long each point is measured.
	Window time.Duration
}

// DaemonPoint is what one daemon costs among so many, or with so many
// instances to watch.
type DaemonPoint struct {
	Daemons   int `json:"daemons"`
	Instances int `json:"instances"`
	// Bytes a second, both ways.
	PeerBytes     float64 `json:"peer_bytes_per_second"`
	PlatformBytes float64 `json:"platform_bytes_per_second"`
	WatchBytes    float64 `json:"watch_bytes_per_second"`
	// CorePercent is the processor time of a daemon in hundredths of a
	// core. It includes an equal part of what the stand-ins took.
	CorePercent float64 `json:"core_percent"`
	// HeapBytes is a daemon's part of the live heap.
	HeapBytes float64 `json:"heap_bytes"`
}

// StatePoint is what the agreed state costs at so many groups of eight.
type StatePoint struct {
	Groups      int     `json:"groups"`
	Bytes       int     `json:"bytes"`
	MarshalMS   float64 `json:"marshal_ms"`
	RestoreMS   float64 `json:"restore_ms"`
	CloneUS     float64 `json:"clone_us"`
	ApplyUS     float64 `json:"apply_us"`
	PlanMS      float64 `json:"plan_ms"`
	GatesUS     float64 `json:"gates_us"`
	AuditBytes  float64 `json:"audit_bytes_per_entry"`
	HeapBytes   uint64  `json:"heap_bytes"`
	RecordBytes int     `json:"form_record_bytes"`
}

// Capacity measures the slopes that docs/CAPACITY.md works with.
func Capacity(ctx context.Context, opts CapacityOptions) (Report, error) {
	table := Table{Columns: []string{"point", "peer B/s", "platform B/s", "watch B/s", "% of a core", "heap KB", "bytes", "marshal ms", "clone us", "apply us", "plan ms", "gates us"}}
	var daemons []DaemonPoint
	for _, n := range opts.Daemons {
		p, err := daemonPoint(ctx, n, 0, opts.Window)
		if err != nil {
			return Report{}, err
		}
		daemons = append(daemons, p)
		table.Rows = append(table.Rows, p.row())
	}
	for _, n := range opts.Instances {
		p, err := daemonPoint(ctx, 3, n, opts.Window)
		if err != nil {
			return Report{}, err
		}
		daemons = append(daemons, p)
		table.Rows = append(table.Rows, p.row())
	}
	var states []StatePoint
	for _, n := range opts.Groups {
		p, err := statePoint(n)
		if err != nil {
			return Report{}, err
		}
		states = append(states, p)
		table.Rows = append(table.Rows, p.row())
	}
	return Report{Table: table, Figures: map[string]any{"measure": "capacity", "daemons": daemons, "states": states}}, nil
}

func (p DaemonPoint) row() []string {
	return []string{
		fmt.Sprintf("%d daemons, %d instances", p.Daemons, p.Instances), fmt.Sprintf("%.0f", p.PeerBytes),
		fmt.Sprintf("%.0f", p.PlatformBytes), fmt.Sprintf("%.0f", p.WatchBytes), fmt.Sprintf("%.2f", p.CorePercent),
		fmt.Sprintf("%.0f", p.HeapBytes/1024), "", "", "", "", "", "",
	}
}

func (p StatePoint) row() []string {
	return []string{
		fmt.Sprintf("%d groups of 8", p.Groups), "", "", "", "", fmt.Sprintf("%d", p.HeapBytes/1024), fmt.Sprint(p.Bytes),
		fmt.Sprintf("%.2f", p.MarshalMS), fmt.Sprintf("%.0f", p.CloneUS), fmt.Sprintf("%.1f", p.ApplyUS),
		fmt.Sprintf("%.2f", p.PlanMS), fmt.Sprintf("%.0f", p.GatesUS),
	}
}

const rosterWithin = 2 * time.Minute

// daemonPoint runs a site that nobody uses and sees what it costs.
func daemonPoint(ctx context.Context, daemons, instances int, window time.Duration) (DaemonPoint, error) {
	opts := site.Options{Daemons: daemons, Zones: []models.Zone{"zone-a", "zone-b", "zone-c"}, Log: zerolog.Nop()}
	if instances > 0 {
		opts.Domains = []site.Domain{{Name: "fabric-a", Zone: "zone-a", Engines: instances}}
		opts.Engine = standin.EngineOptions{Slots: 1}
	}
	s, err := site.Start(ctx, opts)
	if err != nil {
		return DaemonPoint{}, err
	}
	ready, cancel := context.WithTimeout(ctx, rosterWithin)
	defer cancel()
	err = s.WaitFor(ready, "a settled site", func(v *daemon.View) bool {
		return len(v.State.Daemons) == daemons && len(v.Evidence) == instances
	})
	if err != nil {
		return DaemonPoint{}, firstError(err, s.Stop())
	}
	before, used := siteTraffic(s), processorTime()
	time.Sleep(window)
	after, usedAfter := siteTraffic(s), processorTime()
	heap := liveHeap()
	per := func(b, a uint64) float64 { return float64(a-b) / window.Seconds() / float64(daemons) }
	p := DaemonPoint{
		Daemons: daemons, Instances: instances,
		PeerBytes:     per(before.Peers, after.Peers),
		PlatformBytes: per(before.Platform, after.Platform),
		WatchBytes:    per(before.Watch, after.Watch),
		CorePercent:   100 * (usedAfter - used).Seconds() / window.Seconds() / float64(daemons),
		HeapBytes:     float64(heap) / float64(daemons),
	}
	return p, s.Stop()
}

func siteTraffic(s *site.Site) daemon.Traffic {
	var total daemon.Traffic
	for _, n := range s.Nodes {
		t := n.Daemon.Traffic()
		total.Peers += t.Peers
		total.Platform += t.Platform
		total.Watch += t.Watch
	}
	return total
}

func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

const (
	groupSize  = 8
	auditCount = 1000
)

// statePoint folds so many groups and times what a daemon does with them.
func statePoint(groups int) (StatePoint, error) {
	before := liveHeap()
	s, err := stateOf(groups)
	if err != nil {
		return StatePoint{}, err
	}
	p := StatePoint{Groups: groups, HeapBytes: max(liveHeap(), before) - before}
	data, err := s.Marshal()
	if err != nil {
		return p, err
	}
	p.Bytes = len(data)
	p.MarshalMS = timeEach(5, func() { _, err = s.Marshal() }).Seconds() * 1e3
	p.RestoreMS = timeEach(5, func() { _, err = state.Restore(s.Applied, data) }).Seconds() * 1e3
	p.CloneUS = timeEach(20, func() { s.Clone() }).Seconds() * 1e6
	if err != nil {
		return p, err
	}
	in := planInput(s)
	p.PlanMS = timeEach(10, func() { planner.Plan(in) }).Seconds() * 1e3
	p.GatesUS = timeEach(10, func() {
		for _, g := range s.Groups {
			planner.GateOf(g, in.Evidence, time.Second)
		}
	}).Seconds() * 1e6
	started := time.Now()
	if err := addAudit(s); err != nil {
		return p, err
	}
	p.ApplyUS = time.Since(started).Seconds() * 1e6 / auditCount
	data, err = s.Marshal()
	p.AuditBytes = float64(len(data)-p.Bytes) / auditCount
	rec, encodeErr := formRecord(groups+1, 1)
	p.RecordBytes = len(rec)
	return p, firstError(err, encodeErr)
}

func timeEach(times int, f func()) time.Duration {
	started := time.Now()
	for range times {
		f()
	}
	return time.Since(started) / time.Duration(times)
}

// stateOf folds a model and so many groups of it.
func stateOf(groups int) (*state.State, error) {
	s := state.New()
	change := state.ChangeConfig{Operator: "op", Ops: []state.Op{state.PutModel{Model: models.Model{
		Name: "brief", Version: "v1", Members: groupSize, Replicas: min(groups, models.MaxReplicas),
	}}}}
	data, err := state.Encode(state.Record{ID: newID(0), Author: "daemon-1", Body: change})
	if err != nil {
		return nil, err
	}
	if _, err := s.Apply(1, data); err != nil {
		return nil, err
	}
	for n := range groups {
		data, err := formRecord(n+1, 1)
		if err != nil {
			return nil, err
		}
		out, err := s.Apply(s.Applied+1, data)
		if err := firstError(err, out.Rejection); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func newID(n int) models.RecordID {
	return models.RecordID(fmt.Sprintf("00000000-0000-4000-8000-%012d", n))
}

func formRecord(n int, revision models.Revision) ([]byte, error) {
	g := models.Group{
		ID: models.GroupID(fmt.Sprintf("brief-%d.1", n)), Model: "brief", Version: "v1",
		Zone: "zone-a", Domain: models.Domain(fmt.Sprintf("fabric-%d", n/4)),
	}
	for m := range groupSize {
		g.Members = append(g.Members, models.Member{
			ID:   models.InstanceID(fmt.Sprintf("instance-%d", n*groupSize+m)),
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 8), byte(n), byte(m)}), 8000), Accelerators: 1, ChecksFences: true,
		})
	}
	return state.Encode(state.Record{ID: newID(n), Author: "daemon-1", Body: state.FormGroup{Group: g, ModelRevision: revision, Reason: "its model wants more replicas"}})
}

func addAudit(s *state.State) error {
	for n := range auditCount {
		change := state.ChangeConfig{
			Operator: "duty", Note: "night shift", Text: "limit workspace observatory concurrent 40",
			Ops: []state.Op{state.PutPolicy{Base: s.Policy.Revision, Policy: models.Policy{DowntimeWeight: n % 9, StrandedWeight: 1}}},
		}
		data, err := state.Encode(state.Record{ID: newID(1_000_000 + n), Author: "daemon-1", At: time.Unix(int64(n), 0), Body: change})
		if err != nil {
			return err
		}
		out, err := s.Apply(s.Applied+1, data)
		if err := firstError(err, out.Rejection); err != nil {
			return err
		}
	}
	return nil
}

// planInput gives every member fresh evidence that it serves.
func planInput(s *state.State) planner.Input {
	now := time.Now()
	in := planner.Input{
		State: s, Instances: map[models.InstanceID]models.Instance{}, Evidence: map[models.InstanceID]planner.Evidence{},
		Now: now, Rules: planner.Rules{ReplaceAfter: time.Second, MaxEvidenceAge: time.Second},
	}
	for _, g := range s.Groups {
		for _, m := range g.Members {
			in.Instances[m.ID] = models.Instance{ID: m.ID, Kind: models.KindEngine, Addr: m.Addr, Zone: g.Zone, Domain: g.Domain, Accelerators: 1}
			in.Evidence[m.ID] = planner.Evidence{LastSeen: now, ProbedSince: now, Status: types.EngineStatus{
				Instance: m.ID, Group: g.ID, Fence: g.Fence, Model: g.Model, Version: g.Version, Phase: types.PhaseLoaded,
			}}
		}
	}
	return in
}
