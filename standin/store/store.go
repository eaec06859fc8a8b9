// Package store is a stand-in for the platform's store: topics with offsets,
// keyed topics that keep the newest record of each key, and groups that deal
// partitions to members. It keeps everything in memory and can be told to
// misbehave.
package store

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	partsPerTopic = 24
	// pageLen is how many keys one answer holds, maxBody how many bytes one
	// call may bring.
	pageLen = 500
	maxBody = 2 << 20
	// maxWait is how long a reading is held, waitStep how often one that is
	// held looks for records.
	maxWait  = 30 * time.Second
	waitStep = 5 * time.Millisecond
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
	// era counts how often the store came back from a copy.
	era int64
	now func() time.Time
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

// busy reports whether every call is refused now.
func (s *Store) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Busy
}

// isPast reports whether another era has begun since an answer's header was written.
func (s *Store) isPast(era string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return era != strconv.FormatInt(s.era, 10)
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

// Put writes the newest value of a key, as an outside writer does; an empty
// value drops it.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.partition("keyed."+topic, 0).append(append(record, value...))
}

// ServeHTTP answers the store's calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	time.Sleep(f.Delay)
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
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
