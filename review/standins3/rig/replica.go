package rig

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Model is a model of the configuration.
type Model struct {
	Name         string
	Size         int
	LoadS, WarmS float64
}

const (
	rejoinTime = 200 * time.Millisecond
	formTime   = 300 * time.Millisecond
	tick       = 10 * time.Millisecond
)

// Pool holds the replicas of a site. Its lock guards their state.
type Pool struct {
	site *Site

	mu        sync.Mutex
	replicas  map[string]*Replica
	created   int
	everReady map[groupKey]map[string]bool
	traffic   bool
}

type groupKey struct {
	name  string
	epoch int64
}

// Replica is a replica of a service: of the engines if it has a domain, otherwise of the plain one.
type Replica struct {
	ID, Addr, Service, Zone, Domain string

	pool     *Pool
	listener net.Listener
	// handle, if set, serves a request instead of the replica, if it returns true.
	handle func(*Replica, *Call) bool

	down       bool
	draining   bool
	conns      map[net.Conn]bool
	writes     int64
	lastWrite  time.Time
	orders     int64
	fence      int64
	epoch      int64
	group      groupKey
	rank       int
	state      string
	members    []string
	model      string
	joining    string
	staged     []string
	staging    string
	readyAt    time.Time
	openAt     time.Time
	stagedAt   time.Time
	brokenFrom time.Time
	born       int64
	// lapse removes the entry of a replica that is down.
	lapse *time.Timer
	// active is the number of requests that the head has, cuts how often it was told to end them.
	active, cuts int
	// clockOffset is how far the clock of the replica's machine is ahead.
	clockOffset time.Duration
}

// Call is a request that arrived on a connection of a replica.
type Call struct {
	Conn net.Conn
	Req  *http.Request
	Body []byte
	ID   string
	// Served is the number of requests that were answered on the connection before.
	Served int
	// Last is the id of the request that was answered last on the connection.
	Last string
	// Close is set by a handler if the connection is to be closed.
	Close bool
}

// Order is an order to a replica.
type Order struct {
	Op      string   `json:"op"`
	How     string   `json:"how"`
	Group   string   `json:"group"`
	Epoch   int64    `json:"epoch"`
	Model   string   `json:"Model"`
	Members []string `json:"members"`
	Fence   int64    `json:"fence"`
}

func newPool(s *Site) *Pool {
	return &Pool{site: s, replicas: map[string]*Replica{}, everReady: map[groupKey]map[string]bool{}}
}

// Add starts a replica.
func (p *Pool) Add(service, zone, domain string) (*Replica, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.created++
	r := &Replica{
		ID: fmt.Sprintf("i-%08x", p.created), Addr: l.Addr().String(), Service: service, Zone: zone, Domain: domain,
		pool: p, listener: l, conns: map[net.Conn]bool{}, born: time.Now().UnixMilli(),
	}
	p.replicas[r.ID] = r
	r.writeEntry()
	p.mu.Unlock()
	go r.accept()
	go r.run()
	return r, nil
}

// Replicas lists the replicas by id.
func (p *Pool) Replicas() []*Replica {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*Replica
	for _, r := range p.replicas {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *Replica) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Heads lists the heads of the model's open groups.
func (p *Pool) Heads(model string) []*Replica {
	var out []*Replica
	for _, r := range p.Replicas() {
		p.mu.Lock()
		open := r.state == "open" && r.model == model && !r.down
		p.mu.Unlock()
		if open {
			out = append(out, r)
		}
	}
	return out
}

// Kill ends a replica as a crash does: its connections are reset, and its entry goes after three
// heartbeats.
func (r *Replica) Kill() {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.down = true
	r.listener.Close()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
	left := 3*Heartbeat - time.Since(r.lastWrite)
	r.lapse = time.AfterFunc(left, func() { r.pool.site.Store.Put("servers", r.ID, nil) })
}

// Restart starts a replica again that was killed, under its id and at its address. It holds and knows
// nothing of before.
func (r *Replica) Restart() error {
	l, err := net.Listen("tcp4", r.Addr)
	if err != nil {
		return err
	}
	r.pool.mu.Lock()
	r.lapse.Stop()
	r.listener, r.down, r.draining, r.conns = l, false, false, map[net.Conn]bool{}
	r.writes, r.orders, r.fence, r.epoch, r.born = 0, 0, 0, 0, time.Now().Add(r.clockOffset).UnixMilli()
	r.group, r.state, r.model, r.joining, r.staging, r.members = groupKey{}, "", "", "", "", nil
	r.writeEntry()
	r.pool.mu.Unlock()
	go r.accept()
	go r.run()
	return nil
}

// Leave ends a replica that has said that it is leaving: its entry goes at once.
func (r *Replica) Leave() {
	r.Kill()
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.lapse.Stop()
	r.pool.site.Store.Put("servers", r.ID, nil)
}

// Drain makes the replica say that it is leaving.
func (r *Replica) Drain() {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.draining = true
	r.writeEntry()
}

func (r *Replica) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.pool.mu.Lock()
		r.conns[c] = true
		r.pool.mu.Unlock()
		go r.serve(c)
	}
}

func (r *Replica) serve(c net.Conn) {
	defer func() {
		c.Close()
		r.pool.mu.Lock()
		delete(r.conns, c)
		r.pool.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	call := Call{Conn: c}
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		call.Req, call.Body, call.ID = req, body, req.Header.Get("X-Lupinkeel-Request-Id")
		if !r.answer(&call) || call.Close {
			return
		}
		if call.ID != "" {
			call.Served, call.Last = call.Served+1, call.ID
		}
	}
}

// Write writes an answer with a length.
func (c *Call) Write(status int, header http.Header, body []byte) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if c.ID != "" && header.Get("X-Lupinkeel-Request-Id") == "" {
		fmt.Fprintf(&b, "X-Lupinkeel-Request-Id: %s\r\n", c.ID)
	}
	_ = header.Write(&b)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	_, err := c.Conn.Write(b.Bytes())
	return err == nil
}

// Stamp is the signature of a replica's answer.
func (r *Replica) Stamp(id string) string { return r.ID + "." + id }

func (r *Replica) answer(c *Call) bool {
	if expect := c.Req.Header.Get("X-Lupinkeel-Expect-Instance"); expect != "" && expect != r.ID {
		return c.Write(http.StatusMisdirectedRequest, http.Header{"X-Lupinkeel-Instance-Id": {r.ID}}, nil)
	}
	switch c.Req.URL.Path {
	case "/-/order":
		return r.serveOrder(c)
	case "/-/report":
		r.pool.mu.Lock()
		data, _ := json.Marshal(r.report())
		r.pool.mu.Unlock()
		return c.Write(http.StatusOK, http.Header{"Content-Type": {"application/json"}}, data)
	case "/healthz":
		return c.Write(http.StatusOK, http.Header{"X-Lupinkeel-Instance-Id": {r.ID}}, nil)
	}
	r.pool.mu.Lock()
	r.pool.traffic = true
	handle := r.handle
	r.pool.mu.Unlock()
	r.pool.site.Record.Note("arrives", c.ID, "at=%s served-before=%d", r.ID, c.Served)
	if handle != nil && handle(r, c) {
		return true
	}
	if r.Domain == "" {
		r.Run(c)
		time.Sleep(5 * time.Millisecond)
		return c.Write(http.StatusOK, http.Header{"X-Lupinkeel-Response-Stamp": {r.Stamp(c.ID)}}, []byte("answer to "+c.ID))
	}
	return r.Stream(c, 0)
}

// Run records that a request begins to run.
func (r *Replica) Run(c *Call) { r.pool.site.Record.Run(c.ID, r.ID) }

// Stream answers with a series of events. If breakAfter is set, it breaks off in the middle of the
// event after that many.
func (r *Replica) Stream(c *Call, breakAfter int) bool {
	p := r.pool
	p.mu.Lock()
	open, group, cuts := r.state == "open", r.group, r.cuts
	if open {
		r.active++
	}
	p.mu.Unlock()
	if open {
		defer r.endRequest()
	}
	if !open {
		status := http.StatusMisdirectedRequest
		p.mu.Lock()
		if r.state == "broken" {
			status = http.StatusServiceUnavailable
		}
		p.mu.Unlock()
		return c.Write(status, http.Header{"X-Lupinkeel-Not-Executed": {"1"}}, nil)
	}
	next := 1
	if after, err := strconv.Atoi(c.Req.Header.Get("Last-Event-Id")); err == nil {
		next = after + 1
	}
	first, started := next, false
	for ; next <= p.site.Events; next++ {
		time.Sleep(p.site.EventGap)
		for !r.working(group, cuts) {
			p.mu.Lock()
			ended := r.down || r.state == "broken" || r.group != group || r.cuts != cuts
			p.mu.Unlock()
			if ended {
				return false
			}
			time.Sleep(tick)
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", next, c.ID)
		chunk := fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		if !started {
			r.checkGroup(c)
			r.Run(c)
			started = true
			head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
			chunk = head + "X-Lupinkeel-Request-Id: " + c.ID + "\r\nX-Lupinkeel-Response-Stamp: " + r.Stamp(c.ID) + "\r\n\r\n" + chunk
		}
		if breakAfter > 0 && next-first >= breakAfter {
			_, _ = c.Conn.Write([]byte(chunk[:len(chunk)/2]))
			return false
		}
		if _, err := c.Conn.Write([]byte(chunk)); err != nil {
			return false
		}
	}
	if !started {
		// Nothing was left to send.
		return c.Write(http.StatusOK, http.Header{"X-Lupinkeel-Response-Stamp": {r.Stamp(c.ID)}, "Content-Type": {"text/event-stream"}}, nil)
	}
	_, err := c.Conn.Write([]byte("0\r\n\r\n"))
	return err == nil
}

// working reports whether the head is still in a group that was not cut, and all its members are up and
// in it.
func (r *Replica) working(group groupKey, cuts int) bool {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	return r.group == group && r.cuts == cuts && !r.down && r.complete()
}

// endRequest counts a request of a head that has ended; the last one lets a closing head be ready.
func (r *Replica) endRequest() {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.active--
	if r.active == 0 && r.state == "closing" {
		r.state = "ready"
		r.writeEntry()
	}
}

func (r *Replica) complete() bool {
	for _, id := range r.members {
		m := r.pool.replicas[id]
		if m == nil || m.down || m.group != r.group || m.state == "" {
			return false
		}
	}
	return true
}

func (r *Replica) run() {
	for range time.Tick(tick) {
		r.pool.mu.Lock()
		if r.down {
			r.pool.mu.Unlock()
			return
		}
		r.advance(time.Now())
		r.pool.mu.Unlock()
	}
}

func (r *Replica) advance(now time.Time) {
	changed := now.Sub(r.lastWrite) >= Heartbeat
	if r.staging != "" && !now.Before(r.stagedAt) {
		r.staged, r.staging, changed = []string{r.staging}, "", true
	}
	if r.state == "joining" && !now.Before(r.readyAt) {
		r.state, r.model, r.staged, changed = "ready", r.joining, []string{r.joining}, true
		if r.pool.everReady[r.group] == nil {
			r.pool.everReady[r.group] = map[string]bool{}
		}
		r.pool.everReady[r.group][r.ID] = true
	}
	if r.state == "ready" && !r.openAt.IsZero() && !now.Before(r.openAt) {
		r.state, r.openAt, changed = "open", time.Time{}, true
	}
	if r.state == "open" {
		switch {
		case r.complete():
			r.brokenFrom = time.Time{}
		case r.brokenFrom.IsZero():
			r.brokenFrom = now.Add(StallTime)
		case now.After(r.brokenFrom):
			r.state, changed = "broken", true
		}
	}
	if changed {
		r.writeEntry()
	}
}

type status struct {
	Models []map[string]any `json:"Models"`
	Domain string           `json:"domain,omitempty"`
	Staged []string         `json:"staged,omitempty"`
	Group  map[string]any   `json:"group,omitempty"`
	Born   int64            `json:"born"`
}

func (r *Replica) status() status {
	s := status{Domain: r.Domain, Staged: r.staged, Born: r.born, Models: []map[string]any{}}
	if r.model != "" {
		s.Models = append(s.Models, map[string]any{"Name": r.model, "Version": 1, "Adapters": []string{}})
	}
	if r.state != "" {
		s.Group = map[string]any{"Name": r.group.name, "epoch": r.group.epoch, "rank": r.rank, "State": r.state}
	}
	return s
}

func (r *Replica) report() any {
	return struct {
		Stage                                    string
		Busy                                     bool
		Sequence                                 int64
		Queued, Active, KvUsed, KvTotal, Handles int
		status
	}{Stage: "dual", Sequence: r.orders, KvTotal: 90000, status: r.status()}
}

func (r *Replica) writeEntry() {
	if r.down {
		return
	}
	r.writes++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	data, _ := json.Marshal(struct {
		Service, Address, Zone, Version string
		Slots                           int
		State                           string
		ColdRemainingMs                 int
		Sequence                        int64
		status
	}{r.Service, r.Addr, r.Zone, "1", Slots, state, 0, r.writes, r.status()})
	r.pool.site.Store.Put("servers", r.ID, data)
	r.lastWrite = time.Now()
}

func (r *Replica) serveOrder(c *Call) bool {
	var o Order
	if json.Unmarshal(c.Body, &o) != nil {
		return c.Write(http.StatusBadRequest, http.Header{}, nil)
	}
	return c.Write(r.Execute(o), http.Header{}, nil)
}

// Execute carries out an order and returns the status of its answer.
func (r *Replica) Execute(o Order) int {
	p := r.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	code := r.execute(o, time.Now())
	if code == http.StatusAccepted {
		r.orders++
	}
	p.site.Record.Note("order", o.Op, "at=%s group=%s epoch=%d fence=%d members=%v -> %d", r.ID, o.Group, o.Epoch, o.Fence, o.Members, code)
	r.writeEntry()
	return code
}

func (r *Replica) execute(o Order, now time.Time) int {
	if o.Fence < r.fence {
		return http.StatusPreconditionFailed
	}
	r.fence = o.Fence
	key := groupKey{o.Group, o.Epoch}
	switch {
	case o.Op == "Stage":
		m, known := r.pool.site.model(o.Model)
		if !known {
			return http.StatusConflict
		}
		if slices.Contains(r.staged, o.Model) {
			return http.StatusOK
		}
		r.staging, r.stagedAt = o.Model, now.Add(r.pool.loadTime(m))
		return http.StatusAccepted
	case o.Op == "join":
		return r.join(o, key, now)
	case r.group != key || r.state == "":
		return http.StatusConflict
	case o.Op == "open" && r.state == "open":
		return http.StatusOK
	case o.Op == "open" && (r.state != "ready" || r.rank != 0):
		return http.StatusConflict
	case o.Op == "open":
		r.openAt = now.Add(formTime)
		return http.StatusAccepted
	case o.Op == "close" && o.How == "cut" && (r.state == "open" || r.state == "closing"):
		r.cuts++
		r.state = "ready"
		return http.StatusOK
	case o.Op == "close" && (r.state == "open" || r.state == "closing"):
		if r.active > 0 {
			r.state = "closing"
			return http.StatusAccepted
		}
		r.state = "ready"
		return http.StatusOK
	case o.Op == "close":
		return http.StatusOK
	case o.Op == "leave":
		r.group, r.state, r.openAt, r.members = groupKey{}, "", time.Time{}, nil
		return http.StatusOK
	default:
		return http.StatusBadRequest
	}
}

func (p *Pool) loadTime(m Model) time.Duration {
	load := time.Duration(m.LoadS * float64(time.Second))
	if !p.traffic {
		load /= 10
	}
	return load
}

func (r *Replica) join(o Order, key groupKey, now time.Time) int {
	m, known := r.pool.site.model(o.Model)
	rank := slices.Index(o.Members, r.ID)
	switch {
	case !known || rank < 0:
		return http.StatusConflict
	case o.Epoch < r.epoch:
		return http.StatusPreconditionFailed
	case r.group == key && r.state != "" && slices.Equal(o.Members, r.members):
		return http.StatusOK
	case r.group == key && r.state != "":
		return http.StatusPreconditionFailed
	}
	if r.state != "" && len(r.members) > 0 {
		head := r.pool.replicas[r.members[0]]
		if head != nil && !head.down && head.group == r.group && (head.state == "open" || head.state == "closing") {
			r.pool.site.Record.Broken("TWO: %s joins %s while the head %s of its group %s is open", r.ID, o.Group, head.ID, r.group.name)
		}
	}
	r.epoch, r.members, r.joining, r.openAt = o.Epoch, o.Members, o.Model, time.Time{}
	r.group, r.rank, r.state = key, rank, "joining"
	switch {
	case r.model == o.Model:
		r.readyAt = now.Add(rejoinTime)
	case slices.Contains(r.staged, o.Model):
		r.readyAt = now.Add(time.Duration(m.WarmS * float64(time.Second)))
	default:
		r.readyAt = now.Add(r.pool.loadTime(m))
	}
	return http.StatusAccepted
}

// SetClock sets how far the clock of the replica's machine is ahead.
func (r *Replica) SetClock(ahead time.Duration) {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.clockOffset = ahead
}

// SetHandler sets what serves requests instead of the replica, if it returns true.
func (r *Replica) SetHandler(handle func(*Replica, *Call) bool) {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.handle = handle
}

// checkGroup records a break of PARTIAL if the group of a request that begins to run is not whole.
func (r *Replica) checkGroup(c *Call) {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	m, _ := r.pool.site.model(r.model)
	if len(r.members) != m.Size {
		r.pool.site.Record.Broken("PARTIAL: %s runs in %s with %d members", c.ID, r.group.name, len(r.members))
	}
	for _, id := range r.members {
		if !r.pool.everReady[r.group][id] {
			r.pool.site.Record.Broken("PARTIAL: %s runs in %s, %s was never ready", c.ID, r.group.name, id)
		}
	}
}
