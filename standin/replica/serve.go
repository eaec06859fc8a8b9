package replica

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	headerRequestID   = "X-Lupinkeel-Request-Id"
	headerStamp       = "X-Lupinkeel-Response-Stamp"
	headerNotExecuted = "X-Lupinkeel-Not-Executed"
	// plainRequestTime is how long a plain request takes, unless SetPlainTime sets another time.
	plainRequestTime = 5 * time.Millisecond
)

// ServeHTTP serves orders, status reports and requests.
func (i *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.pool.mu.Lock()
	hung := i.hung
	i.pool.mu.Unlock()
	if hung {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if expect := r.Header.Get("X-Lupinkeel-Expect-Instance"); expect != "" && expect != string(i.ID) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/order":
		i.serveOrder(w, r)
	case "/-/report":
		i.pool.mu.Lock()
		status := i.workStatus()
		i.pool.mu.Unlock()
		// The client may have disconnected.
		_ = json.NewEncoder(w).Encode(status)
	default:
		i.serveRequest(w, r)
	}
}

func (i *Instance) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := models.RequestID(r.Header.Get(headerRequestID))
	w.Header().Set(headerRequestID, string(id))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	i.pool.mu.Lock()
	i.recordArrival()
	received, shed := i.recordRequest(id)
	i.pool.mu.Unlock()
	if shed {
		i.reject(w, received)
		return
	}
	if i.Domain == "" {
		i.pool.mu.Lock()
		i.pool.runs[id]++
		i.pool.arrivals = append(i.pool.arrivals, Arrival{ID: id, At: time.Now()})
		took := cmp.Or(i.pool.plainTime, plainRequestTime)
		i.pool.mu.Unlock()
		if i.crashIfPoisoned(r, body) || i.answerEndlessly(w, id, body) {
			return
		}
		time.Sleep(took)
		if i.answerWrongly(w) {
			return
		}
		i.writeSignalHeaders(w, received)
		w.Header().Set(headerStamp, string(i.ID))
		// The client may have disconnected.
		_, _ = fmt.Fprintf(w, "answer to %s", id)
		return
	}
	i.pool.mu.Lock()
	open := i.group.State == models.MemberOpen
	i.pool.mu.Unlock()
	if !open {
		i.reject(w, received)
		return
	}
	if i.crashIfPoisoned(r, body) || i.answerEndlessly(w, id, body) {
		return
	}
	i.stream(w, r, received)
}

// stream sends the events of a stream; it pauses while the group lacks a member.
func (i *Instance) stream(w http.ResponseWriter, r *http.Request, received *receivedRequest) {
	id, next := received.id, 1
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = after + 1
	}
	flush := http.NewResponseController(w).Flush
	counted := false
	for next <= i.pool.profile.Events {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(i.pool.profile.EventInterval):
		}
		i.pool.mu.Lock()
		complete, aborted := i.groupComplete(), i.hung
		if i.group.State != models.MemberOpen && !counted {
			aborted = true
		}
		if complete && !aborted && !counted {
			i.pool.runs[id]++
			counted = true
		}
		i.pool.mu.Unlock()
		if aborted {
			panic(http.ErrAbortHandler)
		}
		if !complete {
			continue
		}
		if next == 1 || w.Header().Get(headerStamp) == "" {
			i.writeSignalHeaders(w, received)
			w.Header().Set(headerStamp, string(i.ID))
			w.Header().Set("Content-Type", "text/event-stream")
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", next, id); err != nil || flush() != nil {
			return
		}
		next++
	}
}
