// Package store is a stand-in for the platform's store: topics with offsets,
// keyed topics that keep the newest record of each key, and groups that deal
// partitions to members. It keeps everything in memory and can be told to
// misbehave.
package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	partsPerTopic = 24
	pageLen       = 500
	maxBody       = 2 << 20
	maxWait       = 30 * time.Second
	waitStep      = 5 * time.Millisecond
)

// Faults are how the store misbehaves.
type Faults struct {
	// Busy has every call refused with 503.
	Busy bool
	// LoseAnswers is the part of writing calls that are done and not
	// answered.
	LoseAnswers float64
	// Delay is added to every call.
	Delay time.Duration
}

// Store is the stand-in. The zero value is not usable; see New.
type Store struct {
	mu     sync.Mutex
	parts  map[string]*partition
	groups map[string]*group
	faults Faults
	now    func() time.Time
}

type partition struct {
	// first is the offset of records[0].
	first   int64
	records [][]byte
	// newest holds the newest value of each key, at its offset, of a keyed
	// topic.
	newest map[string]keyed
}

type keyed struct {
	value  []byte
	offset int64
}

type group struct {
	generation int64
	members    map[string]*member
	// owner is who holds each partition.
	owner [partsPerTopic]string
}

type member struct {
	until time.Time
	seen  int64
}

// New returns an empty store.
func New() *Store {
	return &Store{parts: map[string]*partition{}, groups: map[string]*group{}, now: time.Now}
}

// Misbehave changes the store's faults.
func (s *Store) Misbehave(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Forget drops all records of a topic, as when their time is over. The newest
// of each key stay.
func (s *Store) Forget(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, 0)
	p.first += int64(len(p.records))
	p.records = nil
}

// Deal deals all partitions of a group anew, as the store does at times.
func (s *Store) Deal(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[name]; g != nil {
		g.owner = [partsPerTopic]string{}
		g.generation++
	}
}

// Put writes the newest value of a key, as an outside writer does; an empty
// value drops it.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.partition("keyed."+topic, 0).append(append(record, value...))
}

func (s *Store) partition(topic string, part int) *partition {
	name := topic + "/" + strconv.Itoa(part)
	p := s.parts[name]
	if p == nil {
		p = &partition{newest: map[string]keyed{}}
		s.parts[name] = p
	}
	return p
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

func (p *partition) append(record []byte) int64 {
	offset := p.end()
	p.records = append(p.records, record)
	if len(record) == 0 || 1+int(record[0]) > len(record) {
		return offset
	}
	key := string(record[1 : 1+int(record[0])])
	if value := record[1+int(record[0]):]; len(value) > 0 {
		p.newest[key] = keyed{value: value, offset: offset}
	} else {
		delete(p.newest, key)
	}
	return offset
}

// ServeHTTP answers the store's calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	time.Sleep(f.Delay)
	if f.Busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	call, known := map[string]func(http.ResponseWriter, *http.Request) error{
		"POST /-/log-append": s.serveAppend,
		"GET /-/log-read":    s.serveRead,
		"GET /-/log-newest":  s.serveNewest,
		"POST /-/log-join":   s.serveJoin,
		"POST /-/log-leave":  s.serveLeave,
	}[r.Method+" "+r.URL.Path]
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	out := http.ResponseWriter(w)
	lost := r.Method == http.MethodPost && rand.Float64() < f.LoseAnswers
	if lost {
		out = discard{http.Header{}}
	}
	if err := call(out, r); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		// The caller may be gone.
		_, _ = io.WriteString(w, err.Error())
		return
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
}

// discard takes an answer that is to be lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

func where(r *http.Request) (string, int, error) {
	part, err := strconv.Atoi(r.URL.Query().Get("part"))
	topic := r.URL.Query().Get("topic")
	if err != nil || topic == "" || part < 0 || part >= partsPerTopic {
		return "", 0, errors.New("topic or part is wrong")
	}
	return topic, part, nil
}

func answer(w http.ResponseWriter, value any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(value)
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) error {
	topic, part, err := where(r)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(p.end(), 10) {
		w.WriteHeader(http.StatusPreconditionFailed)
		return nil
	}
	offset := p.end()
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			return errors.New("a record is cut")
		}
		p.append(slices.Clone(body[4 : 4+n]))
		body = body[4+n:]
	}
	return answer(w, map[string]int64{"offset": offset, "end": p.end()})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) error {
	topic, part, err := where(r)
	if err != nil {
		return err
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("From"), 10, 64)
	if err != nil {
		return err
	}
	wait := time.Duration(0)
	if text := r.URL.Query().Get("WaitMs"); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		wait = min(maxWait, time.Duration(ms)*time.Millisecond)
	}
	for until := s.now().Add(wait); ; time.Sleep(waitStep) {
		data, gone := s.read(topic, part, from)
		if gone {
			w.WriteHeader(http.StatusGone)
			return nil
		}
		const head = 16
		if len(data) > head || !s.now().Before(until) || r.Context().Err() != nil {
			_, err := w.Write(data)
			return err
		}
	}
}

// read returns the records from an offset on, behind the partition's end and
// first offset, and whether some of them are gone.
func (s *Store) read(topic string, part int, from int64) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	if from < p.first {
		return nil, true
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
	out = binary.BigEndian.AppendUint64(out, uint64(p.first))
	for _, record := range p.records[min(int64(len(p.records)), from-p.first):] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	return out, false
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) error {
	topic, part, err := where(r)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(topic, "keyed.") {
		return fmt.Errorf("topic %s keeps no keys", topic)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	type entry struct {
		Key    string `json:"TlsKey"`
		Value  []byte `json:"Value"`
		Offset int64  `json:"offset"`
	}
	page := struct {
		Entries []entry `json:"Entries"`
		More    bool    `json:"more"`
		End     int64   `json:"end"`
	}{Entries: []entry{}, End: p.end()}
	after := r.URL.Query().Get("After")
	for _, key := range slices.Sorted(maps.Keys(p.newest)) {
		if key <= after && after != "" {
			continue
		}
		if len(page.Entries) == pageLen {
			page.More = true
			break
		}
		page.Entries = append(page.Entries, entry{Key: key, Value: p.newest[key].value, Offset: p.newest[key].offset})
	}
	return answer(w, page)
}

type joinCall struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int64    `json:"ttl_ms"`
	Generation int64    `json:"generation"`
}

func (s *Store) serveJoin(w http.ResponseWriter, r *http.Request) error {
	var call joinCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[call.Group]
	if g == nil {
		g = &group{members: map[string]*member{}}
		s.groups[call.Group] = g
	}
	now := s.now()
	g.expire(now)
	m := g.members[call.Member]
	if m == nil {
		m = &member{}
		g.members[call.Member] = m
		g.generation++
	}
	m.until, m.seen = now.Add(time.Duration(call.TTL)*time.Millisecond), call.Generation
	g.deal()
	parts := [][]any{}
	for part, owner := range g.owner {
		if owner == call.Member && len(call.Topics) > 0 {
			parts = append(parts, []any{call.Topics[0], part, 0})
		}
	}
	return answer(w, map[string]any{"generation": g.generation, "ttl_ms": call.TTL, "parts": parts})
}

func (s *Store) serveLeave(w http.ResponseWriter, r *http.Request) error {
	var call joinCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[call.Group]; g != nil {
		g.remove(call.Member)
	}
	return answer(w, struct{}{})
}

func (g *group) expire(now time.Time) {
	for name, m := range g.members {
		if now.After(m.until) {
			g.remove(name)
		}
	}
}

func (g *group) remove(name string) {
	delete(g.members, name)
	g.generation++
	for part, owner := range g.owner {
		if owner == name {
			g.owner[part] = ""
		}
	}
}

// deal gives partitions without an owner to the members that hold the fewest.
func (g *group) deal() {
	held := map[string]int{}
	for _, owner := range g.owner {
		held[owner]++
	}
	for part, owner := range g.owner {
		if owner != "" {
			continue
		}
		least := ""
		for _, name := range slices.Sorted(maps.Keys(g.members)) {
			if least == "" || held[name] < held[least] {
				least = name
			}
		}
		g.owner[part] = least
		held[least]++
	}
}
