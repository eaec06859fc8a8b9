package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// EngineOptions configures the behaviour of an engine.
type EngineOptions struct {
	ID models.InstanceID
	// Platform is the address of the platform's weight store.
	Platform netip.AddrPort
	// IgnoreFences makes the engine accept every order and request, whatever its fence.
	IgnoreFences bool
	// Load is the time to load weights once they are fetched.
	Load time.Duration
	// Prefill is the time to process 1,000 uncached bytes of a prompt.
	Prefill time.Duration
	// TokenGap is the time between two generated tokens.
	TokenGap time.Duration
	// Slots is the number of requests that run concurrently.
	Slots int
	// ReportLag is the age of the reported load.
	ReportLag time.Duration
	// CachePrefixes is the maximum number of cached prompt prefixes.
	CachePrefixes int
}

// Engine is one member of a replica. The member of rank 0 answers requests while all other members
// are loaded for the same group.
type Engine struct {
	opts   EngineOptions
	slots  *slotQueue
	cache  *prefixCache
	client *http.Client

	mu            sync.Mutex
	status        types.EngineStatus
	loadSamples   []loadSample
	members       []netip.AddrPort
	rank          int
	newestFence   models.Fence
	membersLoaded bool
	cancelLoad    context.CancelFunc
	loading       modelVersion
	runs          map[string]*run
	startedRuns   []RunReport
	orders        int
}

// modelVersion identifies the weights of one version of one model.
type modelVersion struct {
	model   models.ModelName
	version models.Version
}

type loadSample struct {
	taken time.Time
	load  types.Load
}

// NewEngine returns an engine that belongs to no group and has no weights loaded.
func NewEngine(opts EngineOptions) *Engine {
	return &Engine{
		opts:   opts,
		slots:  newSlotQueue(opts.Slots),
		cache:  newPrefixCache(opts.CachePrefixes),
		client: &http.Client{Timeout: memberTimeout},
		status: types.EngineStatus{
			Instance: opts.ID, Incarnation: uint64(time.Now().UnixNano()), Phase: types.PhaseEmpty,
		},
		runs: map[string]*run{},
	}
}

// Handler serves the engine's API, and under /control/ the list of its runs and a switch to mark it
// as leaving.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", e.serveStatus)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/runs/{request}", e.serveResume)
	mux.HandleFunc("DELETE /v1/runs/{request}", e.serveCancel)
	mux.HandleFunc("GET /cache-events", e.cache.serveEvents)
	mux.HandleFunc("GET /control/runs", e.serveRuns)
	mux.HandleFunc("POST /control/leaving", e.serveLeaving)
	return mux
}

const (
	memberCheckInterval = 100 * time.Millisecond
	memberTimeout       = 300 * time.Millisecond
	reportEvery         = 100 * time.Millisecond
)

// Run checks the other members and samples the load until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	tick := time.NewTicker(memberCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			e.checkMembers(ctx)
			e.sampleLoad(now)
		}
	}
}

func (e *Engine) sampleLoad(now time.Time) {
	running, queued := e.slots.counts()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadSamples = append(e.loadSamples, loadSample{taken: now, load: types.Load{Running: running, Queued: queued, Slots: e.opts.Slots}})
	for len(e.loadSamples) > 1 && now.Sub(e.loadSamples[1].taken) >= e.opts.ReportLag {
		e.loadSamples = e.loadSamples[1:]
	}
	e.status.Load = e.loadSamples[0].load
}

// checkMembers checks that every other member is loaded for this group. A replica without one of
// its members can't compute, so its runs fail.
func (e *Engine) checkMembers(ctx context.Context) {
	e.mu.Lock()
	status, members, rank := e.status, e.members, e.rank
	e.mu.Unlock()
	if status.Phase != types.PhaseLoaded || rank != 0 {
		return
	}
	checks := make([]task.Task, 0, len(members))
	for _, addr := range members[1:] {
		checks = append(checks, task.Start(ctx, addr.String(), func(ctx context.Context) error {
			return e.checkMember(ctx, addr, status)
		}))
	}
	err := task.Wait(checks...)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.status.Group != status.Group || e.status.Fence != status.Fence {
		return
	}
	if e.membersLoaded && err != nil {
		e.failRuns("a member of the replica is missing")
	}
	e.membersLoaded = err == nil
}

func (e *Engine) checkMember(ctx context.Context, addr netip.AddrPort, own types.EngineStatus) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/status", nil)
	if err != nil {
		return err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var other types.EngineStatus
	if err := json.NewDecoder(resp.Body).Decode(&other); err != nil {
		return err
	}
	if other.Group != own.Group || other.Fence != own.Fence || other.Phase != types.PhaseLoaded {
		return fmt.Errorf("%s is not in the group", addr)
	}
	return nil
}

// failRuns aborts all runs; their streams end without an end mark. The caller holds the lock.
func (e *Engine) failRuns(reason string) {
	for _, r := range e.runs {
		r.fail(reason)
	}
}

func (e *Engine) serveStatus(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.status
	if status.Phase == types.PhaseLoaded && e.rank == 0 && len(e.members) > 1 && !e.membersLoaded {
		status.Phase = types.PhaseJoining
	}
	for _, r := range e.runs {
		if !r.ended() {
			status.InFlight++
		}
	}
	writeJSON(w, http.StatusOK, status)
}

func (e *Engine) serveLeaving(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status.Leaving = true
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order types.Order
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	if !e.opts.IgnoreFences && order.Fence < e.newestFence {
		writeError(w, http.StatusConflict, fmt.Sprintf("order has fence %d, newest is %d", order.Fence, e.newestFence))
		return
	}
	e.newestFence = max(e.newestFence, order.Fence)
	switch order.Kind {
	case types.OrderLoad:
		e.joinGroup(order)
	case types.OrderPrepare:
		if e.status.Group == "" {
			e.ensureWeights(order)
		}
	case types.OrderLeave:
		e.leaveGroup()
	default:
		writeError(w, http.StatusBadRequest, "unknown kind of order")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// leaveGroup removes the engine from its group; its weights stay loaded. The caller holds the lock.
func (e *Engine) leaveGroup() {
	e.failRuns("the replica was ended")
	e.members, e.membersLoaded = nil, false
	e.status.Group, e.status.Fence = "", 0
	if e.status.Phase == types.PhaseLoaded {
		e.status.Phase = types.PhaseEmpty
	}
}

// joinGroup makes the engine a member of the order's group, unless it is already. The caller holds
// the lock.
func (e *Engine) joinGroup(order types.Order) {
	if e.status.Group == order.Group && e.status.Fence == order.Fence {
		return
	}
	e.leaveGroup()
	e.members, e.rank = order.Members, order.Rank
	e.status.Group, e.status.Fence = order.Group, order.Fence
	e.ensureWeights(order)
}

// ensureWeights starts to load the order's weights unless they are loaded or being loaded. The
// caller holds the lock.
func (e *Engine) ensureWeights(order types.Order) {
	wanted := modelVersion{order.Model, order.Version}
	if e.status.Phase == types.PhaseLoading && e.loading == wanted {
		return
	}
	if e.cancelLoad != nil {
		e.cancelLoad()
	}
	held := modelVersion{e.status.Model, e.status.Version}
	if held == wanted {
		e.setWeights(wanted)
		return
	}
	e.status.Phase, e.loading = types.PhaseLoading, wanted
	e.status.Model, e.status.Version = "", ""
	ctx, cancel := context.WithCancel(context.Background())
	e.cancelLoad = cancel
	go e.loadWeights(ctx, wanted)
}

// setWeights records that the weights are loaded. The caller holds the lock.
func (e *Engine) setWeights(w modelVersion) {
	e.status.Model, e.status.Version = w.model, w.version
	e.status.Phase = types.PhaseEmpty
	if e.status.Group != "" {
		e.status.Phase = types.PhaseLoaded
	}
}

func (e *Engine) loadWeights(ctx context.Context, w modelVersion) {
	for e.fetchWeights(ctx, w) != nil {
		if sleep(ctx, memberTimeout) != nil {
			return
		}
	}
	if sleep(ctx, e.opts.Load) != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() == nil {
		e.setWeights(w)
	}
}

func (e *Engine) fetchWeights(ctx context.Context, w modelVersion) error {
	url := fmt.Sprintf("http://%s/weights/%s/%s", e.opts.Platform, w.model, w.version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("weight store: %s", resp.Status)
	}
	return nil
}

// CacheUsage returns how many prompt bytes were cached, and the total of prompt bytes.
func (e *Engine) CacheUsage() (cached, total int) {
	e.cache.mu.Lock()
	defer e.cache.mu.Unlock()
	return e.cache.cachedBytes, e.cache.totalBytes
}
