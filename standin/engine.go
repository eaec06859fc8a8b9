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

// EngineOptions sets how an engine behaves.
type EngineOptions struct {
	ID models.InstanceID
	// Platform is where the weight store is.
	Platform netip.AddrPort
	// IgnoreFences makes the engine obey every order and request.
	IgnoreFences bool
	// Load is how long it takes to load weights once they are fetched.
	Load time.Duration
	// Prefill is how long 1,000 bytes of prompt take that are not cached.
	Prefill time.Duration
	// TokenGap is the time between two tokens.
	TokenGap time.Duration
	// Slots is how many requests run at once.
	Slots int
	// ReportLag is how old the reported load is.
	ReportLag time.Duration
	// CachePrefixes is how many prompt prefixes the cache holds.
	CachePrefixes int
}

// Engine is one member of a replica. The member of rank 0 answers requests
// while all other members are there.
type Engine struct {
	opts  EngineOptions
	slots *slotQueue
	cache *prefixCache
	http  *http.Client

	mu          sync.Mutex
	status      types.EngineStatus
	reported    []reportedLoad
	members     []netip.AddrPort
	rank        int
	newestFence models.Fence
	membersOK   bool
	stopLoad    context.CancelFunc
	loading     weights
	runs        map[string]*run
	history     []RunReport
	orders      int
}

// weights name one version of one model.
type weights struct {
	model   models.ModelName
	version models.Version
}

type reportedLoad struct {
	at   time.Time
	load types.Load
}

// NewEngine returns an empty engine.
func NewEngine(opts EngineOptions) *Engine {
	return &Engine{
		opts:  opts,
		slots: newSlotQueue(opts.Slots),
		cache: newPrefixCache(opts.CachePrefixes),
		http:  &http.Client{Timeout: memberTimeout},
		status: types.EngineStatus{
			Instance: opts.ID, Incarnation: uint64(time.Now().UnixNano()), Phase: types.PhaseEmpty,
		},
		runs: map[string]*run{},
	}
}

// Handler serves the engine's calls, and under /control/ what it counted.
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
	memberCheck   = 100 * time.Millisecond
	memberTimeout = 300 * time.Millisecond
	reportEvery   = 100 * time.Millisecond
)

// Run checks the other members and samples the load until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	tick := time.NewTicker(memberCheck)
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
	e.reported = append(e.reported, reportedLoad{at: now, load: types.Load{Running: running, Queued: queued, Slots: e.opts.Slots}})
	for len(e.reported) > 1 && now.Sub(e.reported[1].at) >= e.opts.ReportLag {
		e.reported = e.reported[1:]
	}
	e.status.Load = e.reported[0].load
}

// checkMembers asks every other member whether it is loaded for this group.
// A replica whose member is missing cannot compute, so its runs break.
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
	if e.membersOK && err != nil {
		e.breakRuns("a member of the replica is missing")
	}
	e.membersOK = err == nil
}

func (e *Engine) checkMember(ctx context.Context, addr netip.AddrPort, own types.EngineStatus) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/status", nil)
	if err != nil {
		return err
	}
	resp, err := e.http.Do(req)
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

// breakRuns ends everything that runs without an end mark. The caller holds
// the lock.
func (e *Engine) breakRuns(reason string) {
	for _, r := range e.runs {
		r.fail(reason)
	}
}

func (e *Engine) serveStatus(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.status
	if status.Phase == types.PhaseLoaded && e.rank == 0 && len(e.members) > 1 && !e.membersOK {
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
		e.join(order)
	case types.OrderPrepare:
		if e.status.Group == "" {
			e.obtain(order)
		}
	case types.OrderLeave:
		e.leave()
	default:
		writeError(w, http.StatusBadRequest, "unknown kind of order")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// leave takes the engine out of its group; it keeps its weights. The caller
// holds the lock.
func (e *Engine) leave() {
	e.breakRuns("the replica was ended")
	e.members, e.membersOK = nil, false
	e.status.Group, e.status.Fence = "", 0
	if e.status.Phase == types.PhaseLoaded {
		e.status.Phase = types.PhaseEmpty
	}
}

// join makes the engine a member of a group, unless it is already. The
// caller holds the lock.
func (e *Engine) join(order types.Order) {
	if e.status.Group == order.Group && e.status.Fence == order.Fence {
		return
	}
	e.leave()
	e.members, e.rank = order.Members, order.Rank
	e.status.Group, e.status.Fence = order.Group, order.Fence
	e.obtain(order)
}

// obtain sees that the engine gets the order's weights: it has them, is
// loading them, or starts to. The caller holds the lock.
func (e *Engine) obtain(order types.Order) {
	wanted := weights{order.Model, order.Version}
	if e.status.Phase == types.PhaseLoading && e.loading == wanted {
		return
	}
	if e.stopLoad != nil {
		e.stopLoad()
	}
	held := weights{e.status.Model, e.status.Version}
	if held == wanted {
		e.weightsReady(wanted)
		return
	}
	e.status.Phase, e.loading = types.PhaseLoading, wanted
	e.status.Model, e.status.Version = "", ""
	ctx, cancel := context.WithCancel(context.Background())
	e.stopLoad = cancel
	go e.load(ctx, wanted)
}

// weightsReady notes that the weights are at hand. The caller holds the lock.
func (e *Engine) weightsReady(w weights) {
	e.status.Model, e.status.Version = w.model, w.version
	e.status.Phase = types.PhaseEmpty
	if e.status.Group != "" {
		e.status.Phase = types.PhaseLoaded
	}
}

func (e *Engine) load(ctx context.Context, w weights) {
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
		e.weightsReady(w)
	}
}

func (e *Engine) fetchWeights(ctx context.Context, w weights) error {
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

// CacheUse is how many bytes of prompts were cached, and of all prompts.
func (e *Engine) CacheUse() (cached, total int) {
	e.cache.mu.Lock()
	defer e.cache.mu.Unlock()
	return e.cache.used, e.cache.total
}
