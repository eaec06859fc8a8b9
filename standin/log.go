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
	maxAppendBytes = 1 << 20
	maxReadEntries = 512
	maxReadWait    = 10 * time.Second
)

// LogControl changes the log's faults. A field that is left out keeps its value.
type LogControl struct {
	Down *bool `json:"down,omitempty"`
	// Delay is added to every call.
	Delay *Duration `json:"delay,omitempty"`
	// LoseResponses is how many of the next appends take effect but get no response: the connection
	// is closed.
	LoseResponses *int `json:"lose_answers,omitempty"`
	// AppendsPerSecond limits the rate of all appends together; 0 means no limit.
	AppendsPerSecond *float64 `json:"appends_per_second,omitempty"`
	// Retain is how many records of each stream are kept; 0 keeps all.
	Retain *int `json:"retain,omitempty"`
}

// LogCounts holds the log's traffic counters since its start.
type LogCounts struct {
	Appends     int   `json:"appends"`
	Rejected    int   `json:"refused"`
	Reads       int   `json:"reads"`
	AppendBytes int64 `json:"append_bytes"`
	ReadBytes   int64 `json:"read_bytes"`
}

// Log is an append-only log with offsets, limited retention and faults that can be changed at run
// time.
type Log struct {
	mu              sync.Mutex
	streams         map[string]*stream
	counts          LogCounts
	down            bool
	delay           time.Duration
	responsesToLose int
	rate            float64
	retain          int
	appendTokens    float64
	refilled        time.Time
}

type stream struct {
	first models.Offset
	data  [][]byte
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// NewLog returns an empty log without faults.
func NewLog() *Log {
	return &Log{streams: map[string]*stream{}, refilled: time.Now()}
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) nextOffset() models.Offset { return s.first + models.Offset(len(s.data)) }

// Control changes the log's faults.
func (l *Log) Control(c LogControl) {
	l.mu.Lock()
	defer l.mu.Unlock()
	setIfPresent(&l.down, c.Down)
	setIfPresent(&l.responsesToLose, c.LoseResponses)
	setIfPresent(&l.rate, c.AppendsPerSecond)
	setIfPresent(&l.retain, c.Retain)
	if c.Delay != nil {
		l.delay = time.Duration(*c.Delay)
	}
	for _, s := range l.streams {
		l.expire(s)
		close(s.appended)
		s.appended = make(chan struct{})
	}
}

func setIfPresent[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

func (l *Log) expire(s *stream) {
	if excess := len(s.data) - l.retain; l.retain > 0 && excess > 0 {
		s.data = append([][]byte(nil), s.data[excess:]...)
		s.first += models.Offset(excess)
	}
}

type appendResult struct {
	offset       models.Offset
	loseResponse bool
	status       int
}

func (l *Log) append(name string, data []byte) appendResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return appendResult{status: http.StatusServiceUnavailable}
	}
	if !l.takeAppendToken(time.Now()) {
		l.counts.Rejected++
		return appendResult{status: http.StatusTooManyRequests}
	}
	s := l.stream(name)
	offset := s.nextOffset()
	s.data = append(s.data, data)
	l.expire(s)
	close(s.appended)
	s.appended = make(chan struct{})
	l.counts.Appends++
	l.counts.AppendBytes += int64(len(data))
	lose := l.responsesToLose > 0
	if lose {
		l.responsesToLose--
	}
	return appendResult{offset: offset, loseResponse: lose, status: http.StatusOK}
}

// takeAppendToken takes an append from a token bucket that holds at most one second of the rate.
func (l *Log) takeAppendToken(now time.Time) bool {
	if l.rate == 0 {
		return true
	}
	l.appendTokens = min(l.rate, l.appendTokens+now.Sub(l.refilled).Seconds()*l.rate)
	l.refilled = now
	if l.appendTokens < 1 {
		return false
	}
	l.appendTokens--
	return true
}

func (l *Log) waitDelay(ctx context.Context) error {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	return sleep(ctx, delay)
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppendBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if l.waitDelay(r.Context()) != nil {
		return
	}
	res := l.append(r.PathValue("stream"), data)
	switch {
	case res.status != http.StatusOK:
		w.Header().Set("Retry-After", "1")
		writeError(w, res.status, "append refused")
	case res.loseResponse:
		panic(http.ErrAbortHandler)
	default:
		writeJSON(w, http.StatusOK, platform.AppendResponse{Offset: res.offset})
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
	if l.waitDelay(r.Context()) != nil {
		return
	}
	deadline := time.Now().Add(min(wait, maxReadWait))
	for {
		resp, status, appended := l.read(r.PathValue("stream"), models.Offset(from))
		remaining := time.Until(deadline)
		if status != http.StatusOK || len(resp.Entries) > 0 || remaining <= 0 {
			writeJSON(w, status, resp)
			return
		}
		select {
		case <-appended:
		case <-time.After(remaining):
		case <-r.Context().Done():
			return
		}
	}
}

func (l *Log) read(name string, from models.Offset) (platform.ReadResponse, int, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.counts.Reads++
	if l.down {
		return platform.ReadResponse{}, http.StatusServiceUnavailable, s.appended
	}
	resp := platform.ReadResponse{First: s.first, Next: s.nextOffset()}
	if from < s.first {
		return resp, http.StatusGone, s.appended
	}
	for o := from; o < s.nextOffset() && len(resp.Entries) < maxReadEntries; o++ {
		data := s.data[o-s.first]
		l.counts.ReadBytes += int64(len(data))
		resp.Entries = append(resp.Entries, types.Entry{Offset: o, Data: data})
	}
	return resp, http.StatusOK, s.appended
}

func (l *Log) serveControl(w http.ResponseWriter, r *http.Request) {
	var c LogControl
	if readJSON(w, r, &c) {
		l.Control(c)
		w.WriteHeader(http.StatusNoContent)
	}
}

// Counts returns the traffic counters.
func (l *Log) Counts() LogCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

func (l *Log) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, l.Counts())
}
