package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// States of a member of a group; the empty one is that of an instance without a group.
const (
	stateJoining = "joining"
	stateReady   = "ready"
	stateOpen    = "open"
	stateClosing = "closing"
	stateBroken  = "broken"
)

// engineModel is a model that engines serve, with the times of bg-kafe-abonament.
type engineModel struct {
	name       string
	size       int
	load, warm time.Duration
}

var engineModels = []engineModel{
	{"m0", 4, 16 * time.Second, 1600 * time.Millisecond},
	{"m1", 2, 12 * time.Second, 1100 * time.Millisecond},
}

const (
	rejoinTime = 200 * time.Millisecond
	formTime   = 300 * time.Millisecond
	stallTime  = 4 * time.Second
	beatTime   = 1200 * time.Millisecond
	// A stream has streamEvents events, the first after firstEvent, the others eventGap apart.
	streamEvents = 27
	firstEvent   = 150 * time.Millisecond
	eventGap     = 30 * time.Millisecond
	// Late orders are carried out after minLateness to maxLateness.
	minLateness = 2 * time.Second
	maxLateness = 12 * time.Second
	engineTick  = 10 * time.Millisecond
)

// engines are the model replicas of a site.
type engines struct {
	s *site
	// fenced is set if they reject orders with an older fence than they have seen.
	fenced bool

	mu sync.Mutex
	// lateShare is the share of orders that get no answer and are carried out late.
	lateShare float64
	random    *rand.Rand
	byID      map[string]*engine
	// onJoin, if set, is called when an order to join another group has arrived late at every member of
	// a group.
	onJoin     func()
	violations []string
	// runs holds the services that ran each request.
	runs       map[string][]string
	hadRequest bool
	stopped    chan struct{}
}

// engine is one model replica.
type engine struct {
	e                       *engines
	id, service, zone       string
	domain, addr            string
	server                  *http.Server
	born                    int64
	writes, orders          int64
	lastWrite               time.Time
	group, state            string
	epoch, seenEpoch, fence int64
	rank                    int
	members                 []string
	model, joining, staging string
	staged                  []string
	// lateJoin is set while an order to join another group waits to be carried out.
	lateJoin                 bool
	readyAt, openAt, stageAt time.Time
	stalledSince             time.Time
	active                   int
	cut                      chan struct{}
}

func newEngines(s *site, seed uint64) *engines {
	return &engines{s: s, random: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*engine{}, runs: map[string][]string{}, stopped: make(chan struct{})}
}

func modelNamed(name string) (engineModel, bool) {
	for _, m := range engineModels {
		if m.name == name {
			return m, true
		}
	}
	return engineModel{}, false
}

// add starts an engine.
func (e *engines) add(service, zone, domain string) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	i := &engine{
		e: e, id: fmt.Sprintf("e-%03d", len(e.byID)+1), service: service, zone: zone, domain: domain, addr: l.Addr().String(), born: time.Now().UnixMilli(), cut: make(chan struct{}),
	}
	i.server = &http.Server{Handler: i, ReadHeaderTimeout: time.Minute}
	e.byID[i.id] = i
	i.write()
	// Serve ends when the engine stops.
	go func() { _ = i.server.Serve(l) }()
	go i.run()
	return nil
}

// stop ends all engines.
func (e *engines) stop() {
	close(e.stopped)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, i := range e.byID {
		i.server.Close()
	}
}

// setLate sets the share of late orders.
func (e *engines) setLate(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lateShare = share
}

// waitOpen waits until a service has open groups of both models.
func (e *engines) waitOpen(service string, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		open := map[string]bool{}
		e.mu.Lock()
		for _, i := range e.byID {
			if i.state == stateOpen && i.service == service {
				open[i.model] = true
			}
		}
		e.mu.Unlock()
		if len(open) == len(engineModels) {
			return nil
		}
	}
	return fmt.Errorf("the service %s has no open groups of both models after %v", service, timeout)
}

// status is what an engine tells of itself.
func (i *engine) status() map[string]any {
	out := map[string]any{"domain": i.domain, "staged": slices.Clone(i.staged), "born": i.born, "Models": []any{}}
	if i.model != "" {
		out["Models"] = []any{map[string]any{"Name": i.model, "Version": 1, "Adapters": []string{}}}
	}
	if i.state != "" {
		out["group"] = map[string]any{"Name": i.group, "epoch": i.epoch, "rank": i.rank, "State": i.state}
	}
	return out
}

// write writes the engine's entry.
func (i *engine) write() {
	i.writes++
	i.lastWrite = time.Now()
	entry := i.status()
	entry["Service"], entry["Address"], entry["Zone"], entry["Slots"], entry["State"], entry["Sequence"] = i.service, i.addr, i.zone, 26, "ready", i.writes
	data, err := json.Marshal(entry)
	if err != nil {
		i.e.violations = append(i.e.violations, err.Error())
		return
	}
	i.e.s.store.Put("servers", i.id, data)
}

// run completes what is due until the engines stop.
func (i *engine) run() {
	ticks := time.NewTicker(engineTick)
	defer ticks.Stop()
	for {
		select {
		case <-i.e.stopped:
			return
		case now := <-ticks.C:
			i.e.mu.Lock()
			i.advance(now)
			i.e.mu.Unlock()
		}
	}
}

func (i *engine) advance(now time.Time) {
	changed := now.Sub(i.lastWrite) >= beatTime
	if i.staging != "" && !now.Before(i.stageAt) {
		i.staged, i.staging, changed = []string{i.staging}, "", true
	}
	switch {
	case i.state == stateJoining && !now.Before(i.readyAt):
		if !slices.Contains(i.staged, i.joining) {
			i.staged = []string{i.joining}
		}
		i.state, i.model, changed = stateReady, i.joining, true
	case i.state == stateReady && !i.openAt.IsZero() && !now.Before(i.openAt):
		i.state, i.openAt, changed = stateOpen, time.Time{}, true
	case i.state == stateClosing && i.active == 0:
		i.state, changed = stateReady, true
	}
	if i.state == stateOpen && !i.complete() {
		if i.stalledSince.IsZero() {
			i.stalledSince = now
		}
		if now.Sub(i.stalledSince) >= stallTime {
			i.state, changed = stateBroken, true
		}
	} else {
		i.stalledSince = time.Time{}
	}
	if changed {
		i.write()
	}
}

// complete reports whether all members of a head's group are in it.
func (i *engine) complete() bool {
	for _, id := range i.members {
		if m := i.e.byID[id]; m == nil || m.group != i.group || m.epoch != i.epoch || m.state == "" {
			return false
		}
	}
	return true
}

// order is an order to an engine.
type order struct {
	Op      string   `json:"op"`
	How     string   `json:"how"`
	Group   string   `json:"group"`
	Epoch   int64    `json:"epoch"`
	Model   string   `json:"Model"`
	Members []string `json:"members"`
	Fence   int64    `json:"fence"`
}

// ServeHTTP serves reports, orders and requests.
func (i *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Lupinkeel-Expect-Instance"); expected != "" && expected != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		i.e.mu.Lock()
		status := i.status()
		status["Sequence"], status["Active"] = i.orders, i.active
		i.e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status)
	case "/-/order":
		i.serveOrder(w, r)
	default:
		i.serveStream(w, r)
	}
}

func (i *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i.e.mu.Lock()
	late := i.e.random.Float64() < i.e.lateShare
	lateness := minLateness + time.Duration(i.e.random.Float64()*float64(maxLateness-minLateness))
	moves := o.Op == "join" && i.state != "" && (i.group != o.Group || i.epoch != o.Epoch)
	if late && moves {
		i.lateJoin = true
	}
	onJoin := i.e.onJoin
	if !i.allLate() {
		onJoin = nil
	}
	status := 0
	if !late {
		status = i.execute(o, "")
	}
	i.e.mu.Unlock()
	i.e.s.note("order %s at %s group=%s late=%t status=%d", o.Op, i.id, o.Group, late, status)
	if moves && onJoin != nil {
		onJoin()
	}
	if !late {
		w.WriteHeader(status)
		return
	}
	time.AfterFunc(lateness, func() {
		i.e.mu.Lock()
		defer i.e.mu.Unlock()
		i.lateJoin = i.lateJoin && o.Op != "join"
		status := i.execute(o, " (late)")
		i.e.s.note("late order %s at %s group=%s status=%d", o.Op, i.id, o.Group, status)
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// execute executes an order and returns the status of the answer. The engines must be locked.
func (i *engine) execute(o order, how string) int {
	now := time.Now()
	mine := i.state != "" && i.group == o.Group && i.epoch == o.Epoch
	status := http.StatusAccepted
	if i.e.fenced && o.Fence < i.fence {
		return http.StatusPreconditionFailed
	}
	i.fence = max(i.fence, o.Fence)
	switch {
	case o.Op == "Stage":
		status = i.stage(o.Model, now)
	case o.Op == "join":
		status = i.join(o, mine, now, how)
	case !mine:
		return http.StatusConflict
	case o.Op == "leave":
		i.state, i.openAt, status = "", time.Time{}, http.StatusOK
		i.cutRequests()
	case o.Op == "open" && i.state == stateOpen:
		return http.StatusOK
	case o.Op == "open" && i.state == stateReady && i.rank == 0:
		if i.openAt.IsZero() {
			i.openAt = now.Add(formTime)
		}
	case o.Op == "close" && (i.state == stateOpen || i.state == stateClosing):
		i.state = stateClosing
		if o.How == "cut" {
			i.cutRequests()
		}
	case o.Op == "close" && i.state == stateReady:
		if i.openAt.IsZero() {
			return http.StatusOK
		}
		return http.StatusConflict
	default:
		return http.StatusConflict
	}
	if status == http.StatusAccepted || status == http.StatusOK {
		i.orders++
		i.write()
	}
	return status
}

// allLate reports whether all members of the engine's group have late orders to join another one.
func (i *engine) allLate() bool {
	for _, id := range i.members {
		if m := i.e.byID[id]; m == nil || !m.lateJoin || m.group != i.group || m.epoch != i.epoch || m.state == "" {
			return false
		}
	}
	return len(i.members) > 0
}

func (i *engine) cutRequests() {
	close(i.cut)
	i.cut = make(chan struct{})
}

func (i *engine) stage(name string, now time.Time) int {
	m, known := modelNamed(name)
	switch {
	case !known:
		return http.StatusConflict
	case slices.Contains(i.staged, name):
		return http.StatusOK
	case i.staging != name:
		i.staging, i.stageAt = name, now.Add(i.e.loadTime(m))
	}
	return http.StatusAccepted
}

// loadTime is a tenth before the first request.
func (e *engines) loadTime(m engineModel) time.Duration {
	if !e.hadRequest {
		return m.load / 10
	}
	return m.load
}

func (i *engine) join(o order, mine bool, now time.Time, how string) int {
	m, known := modelNamed(o.Model)
	rank := slices.Index(o.Members, i.id)
	switch {
	case !known || rank < 0:
		return http.StatusConflict
	case o.Epoch < i.seenEpoch, o.Epoch == i.seenEpoch && mine && !slices.Equal(o.Members, i.members):
		return http.StatusPreconditionFailed
	case mine:
		return http.StatusOK
	}
	i.checkLeftGroup(o, how)
	if i.state == stateOpen || i.state == stateClosing {
		i.cutRequests()
	}
	i.seenEpoch, i.epoch, i.group, i.rank, i.members, i.state, i.joining, i.openAt = o.Epoch, o.Epoch, o.Group, rank, o.Members, stateJoining, o.Model, time.Time{}
	switch {
	case i.model == o.Model:
		i.readyAt = now.Add(rejoinTime)
	case i.staging == o.Model:
		i.readyAt = i.stageAt.Add(m.warm)
	case slices.Contains(i.staged, o.Model):
		i.readyAt = now.Add(m.warm)
	default:
		i.readyAt = now.Add(i.e.loadTime(m))
	}
	return http.StatusAccepted
}

// checkLeftGroup checks that the head of the group that the engine is in neither takes requests nor
// closes.
func (i *engine) checkLeftGroup(o order, how string) {
	if i.state == "" || len(i.members) == 0 {
		return
	}
	head := i.e.byID[i.members[0]]
	if head == nil || head.group != i.group || head.epoch != i.epoch || (head.state != stateOpen && head.state != stateClosing) {
		return
	}
	text := fmt.Sprintf("TWO: %s takes the join of %s%s while %s, the head of its group %s, is %s with %d requests", i.id, o.Group, how, head.id, i.group, head.state, head.active)
	i.e.violations = append(i.e.violations, text)
	i.e.s.note("%s", text)
}

// serveStream serves one request at the head of an open group.
func (i *engine) serveStream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Lupinkeel-Request-Id")
	w.Header().Set("X-Lupinkeel-Request-Id", id)
	i.e.mu.Lock()
	i.e.hadRequest = true
	switch {
	case i.state != "" && i.rank != 0:
		i.e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case i.state != stateOpen:
		i.e.mu.Unlock()
		w.Header().Set("X-Lupinkeel-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	i.active++
	cut := i.cut
	i.e.mu.Unlock()
	defer func() {
		i.e.mu.Lock()
		i.active--
		i.e.mu.Unlock()
	}()
	next, wait := 1, firstEvent
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = after + 1
	}
	for begun := false; next <= streamEvents; next++ {
		select {
		case <-r.Context().Done():
			return
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-time.After(wait):
		}
		wait = eventGap
		i.e.mu.Lock()
		complete := i.complete()
		if complete && !begun {
			i.e.runs[id] = append(i.e.runs[id], i.service)
		}
		i.e.mu.Unlock()
		if !complete {
			// Nothing moves until the group breaks or the request ends.
			next--
			continue
		}
		if !begun {
			begun = true
			i.e.s.note("run %s at %s", id, i.id)
			w.Header().Set("X-Lupinkeel-Response-Stamp", i.id+"."+id)
			w.Header().Set("Content-Type", "text/event-stream")
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", next, id); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}
