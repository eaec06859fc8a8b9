package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/platform"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

const (
	maxAppend      = 1 << 20
	maxReadEntries = 512
	maxReadWait    = 10 * time.Second
)

// LogControl switches the log's faults. Fields that are left out keep their
// value.
type LogControl struct {
	Down *bool `json:"down,omitempty"`
	// Delay holds every call back.
	Delay *Duration `json:"delay,omitempty"`
	// LoseAnswers is how many of the next appends take effect and are then
	// answered by closing the connection.
	LoseAnswers *int `json:"lose_answers,omitempty"`
	// AppendsPerSecond limits all appends together; 0 sets no limit.
	AppendsPerSecond *float64 `json:"appends_per_second,omitempty"`
	// Retain is how many records of a stream are kept; 0 keeps all.
	Retain *int `json:"retain,omitempty"`
}

// LogCounts tells what the log has carried since it started.
type LogCounts struct {
	Appends     int   `json:"appends"`
	Refused     int   `json:"refused"`
	Reads       int   `json:"reads"`
	AppendBytes int64 `json:"append_bytes"`
	ReadBytes   int64 `json:"read_bytes"`
}

// Log is an append-only log with offsets, limited retention and faults that
// can be switched while it runs.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	counts  LogCounts
	down    bool
	delay   time.Duration
	lose    int
	rate    float64
	retain  int
	budget  float64
	filled  time.Time
}

type stream struct {
	first models.Offset
	data  [][]byte
	// grown is closed and replaced at each append.
	grown chan struct{}
}

// NewLog returns an empty log without faults.
func NewLog() *Log {
	return &Log{streams: map[string]*stream{}, filled: time.Now()}
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1, grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) next() models.Offset { return s.first + models.Offset(len(s.data)) }

// Control switches faults.
func (l *Log) Control(c LogControl) {
	l.mu.Lock()
	defer l.mu.Unlock()
	set(&l.down, c.Down)
	set(&l.lose, c.LoseAnswers)
	set(&l.rate, c.AppendsPerSecond)
	set(&l.retain, c.Retain)
	if c.Delay != nil {
		l.delay = time.Duration(*c.Delay)
	}
	for _, s := range l.streams {
		l.expire(s)
		close(s.grown)
		s.grown = make(chan struct{})
	}
}

func set[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

func (l *Log) expire(s *stream) {
	if extra := len(s.data) - l.retain; l.retain > 0 && extra > 0 {
		s.data = append([][]byte(nil), s.data[extra:]...)
		s.first += models.Offset(extra)
	}
}

type appendResult struct {
	offset models.Offset
	lost   bool
	status int
}

func (l *Log) append(name string, data []byte) appendResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return appendResult{status: http.StatusServiceUnavailable}
	}
	if !l.spend(time.Now()) {
		l.counts.Refused++
		return appendResult{status: http.StatusTooManyRequests}
	}
	s := l.stream(name)
	offset := s.next()
	s.data = append(s.data, data)
	l.expire(s)
	close(s.grown)
	s.grown = make(chan struct{})
	l.counts.Appends++
	l.counts.AppendBytes += int64(len(data))
	lost := l.lose > 0
	if lost {
		l.lose--
	}
	return appendResult{offset: offset, lost: lost, status: http.StatusOK}
}

// spend takes one append from a budget that holds a second's worth.
func (l *Log) spend(now time.Time) bool {
	if l.rate == 0 {
		return true
	}
	l.budget = min(l.rate, l.budget+now.Sub(l.filled).Seconds()*l.rate)
	l.filled = now
	if l.budget < 1 {
		return false
	}
	l.budget--
	return true
}

func (l *Log) pause(ctx context.Context) error {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	return sleep(ctx, delay)
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppend))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if l.pause(r.Context()) != nil {
		return
	}
	res := l.append(r.PathValue("stream"), data)
	switch {
	case res.status != http.StatusOK:
		w.Header().Set("Retry-After", "1")
		writeError(w, res.status, "append refused")
	case res.lost:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, http.StatusOK, platform.AppendAnswer{Offset: res.offset})
	}
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil || from == 0 {
		writeError(w, http.StatusBadRequest, "from must be an offset from 1 on")
		return
	}
	wait, _ := time.ParseDuration(query.Get("wait"))
	if l.pause(r.Context()) != nil {
		return
	}
	deadline := time.Now().Add(min(wait, maxReadWait))
	for {
		answer, status, grown := l.read(r.PathValue("stream"), models.Offset(from))
		left := time.Until(deadline)
		if status != http.StatusOK || len(answer.Entries) > 0 || left <= 0 {
			writeJSON(w, status, answer)
			return
		}
		select {
		case <-grown:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}

func (l *Log) read(name string, from models.Offset) (platform.ReadAnswer, int, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.counts.Reads++
	if l.down {
		return platform.ReadAnswer{}, http.StatusServiceUnavailable, s.grown
	}
	answer := platform.ReadAnswer{First: s.first, Next: s.next()}
	if from < s.first {
		return answer, http.StatusGone, s.grown
	}
	for o := from; o < s.next() && len(answer.Entries) < maxReadEntries; o++ {
		data := s.data[o-s.first]
		l.counts.ReadBytes += int64(len(data))
		answer.Entries = append(answer.Entries, types.Entry{Offset: o, Data: data})
	}
	return answer, http.StatusOK, s.grown
}

func (l *Log) serveControl(w http.ResponseWriter, r *http.Request) {
	var c LogControl
	if readJSON(w, r, &c) {
		l.Control(c)
		w.WriteHeader(http.StatusNoContent)
	}
}

// Counts tells what the log has carried so far.
func (l *Log) Counts() LogCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

func (l *Log) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, l.Counts())
}
