// Package store is a stand-in for the platform's store: topics with offsets, keyed topics that keep
// the newest record of each key, and groups that assign partitions to members. It keeps everything
// in memory and can inject faults.
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
	partitionsPerTopic = 24
	// maxPageKeys is the maximum number of keys in a response, maxPageBytes the maximum size of its
	// records, maxBodyBytes the maximum size of a request body.
	maxPageKeys  = 500
	maxPageBytes = 1 << 20
	maxBodyBytes = 2 << 20
	// maxWait is the maximum time that a read waits for records, pollInterval the interval at which
	// it checks for them.
	maxWait      = 30 * time.Second
	pollInterval = 5 * time.Millisecond
)

// Faults configures the faults that the store injects.
type Faults struct {
	// Busy makes every call fail with status 503.
	Busy bool
	// LoseResponses is the fraction of POST calls that take effect but get no response.
	LoseResponses float64
	// Delay is added to every call.
	Delay time.Duration
}

// Store is the stand-in. The zero value is not usable; see New.
type Store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	groups     map[string]*group
	faults     Faults
	// era counts how often the store was restored from a snapshot.
	era int64
	now func() time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{partitions: map[string]*partition{}, groups: map[string]*group{}, now: time.Now}
}

// SetFaults sets the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// busy reports whether every call fails now.
func (s *Store) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Busy
}

// eraChanged reports whether a new era has begun since the response header was written.
func (s *Store) eraChanged(era string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return era != strconv.FormatInt(s.era, 10)
}

// ExpireRecords drops all records of a topic, as if they had expired. The newest value of each key
// stays.
func (s *Store) ExpireRecords(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, 0)
	p.firstOffset += int64(len(p.records))
	p.records = nil
}

// Put writes the newest value of a key, as an external writer does; an empty value deletes the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.partition("keyed."+topic, 0).append(append(record, value...))
}

// ServeHTTP serves the store's API.
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
	serve, known := map[string]func(http.ResponseWriter, *http.Request) error{
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
	lost := r.Method == http.MethodPost && rand.Float64() < f.LoseResponses
	if lost {
		out = discardWriter{http.Header{}}
	}
	if err := serve(out, r); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		// The client may have disconnected.
		_, _ = io.WriteString(w, err.Error())
		return
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
}

// discardWriter discards a response that is to be lost.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}

func parsePartition(r *http.Request) (string, int, error) {
	part, err := strconv.Atoi(r.URL.Query().Get("part"))
	topic := r.URL.Query().Get("topic")
	if err != nil || topic == "" || part < 0 || part >= partitionsPerTopic {
		return "", 0, errors.New("topic or part is wrong")
	}
	return topic, part, nil
}

func writeJSON(w http.ResponseWriter, value any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(value)
}
