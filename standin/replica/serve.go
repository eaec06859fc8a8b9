package replica

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	headerID    = "X-Lupinkeel-Request-Id"
	headerStamp = "X-Lupinkeel-Response-Stamp"
	headerNot   = "X-Lupinkeel-Not-Executed"
	// plainWork is how long a plain request takes.
	plainWork = 5 * time.Millisecond
)

// ServeHTTP answers orders, questions and requests.
func (i *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.f.mu.Lock()
	dark := i.dark
	i.f.mu.Unlock()
	if dark {
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
		i.f.mu.Lock()
		told := i.tell()
		i.f.mu.Unlock()
		// The caller may be gone.
		_ = json.NewEncoder(w).Encode(told)
	default:
		i.serveRequest(w, r)
	}
}

func (i *Instance) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := models.RequestID(r.Header.Get(headerID))
	w.Header().Set(headerID, string(id))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	i.f.mu.Lock()
	i.noteArrival()
	v, shed := i.noteVisit(id)
	i.f.mu.Unlock()
	if shed {
		i.turnAway(w, v)
		return
	}
	if i.Domain == "" {
		i.f.mu.Lock()
		i.f.runs[id]++
		i.f.mu.Unlock()
		if i.crashOn(r, body) {
			return
		}
		time.Sleep(plainWork)
		i.tellOfItself(w, v)
		w.Header().Set(headerStamp, string(i.ID))
		// The caller may be gone.
		_, _ = fmt.Fprintf(w, "answer to %s", id)
		return
	}
	i.f.mu.Lock()
	open := i.group.State == models.MemberOpen
	i.f.mu.Unlock()
	if !open {
		i.turnAway(w, v)
		return
	}
	if i.crashOn(r, body) {
		return
	}
	i.stream(w, r, v)
}

// stream sends the events of a stream while the group is whole.
func (i *Instance) stream(w http.ResponseWriter, r *http.Request, v *visit) {
	id, next := v.id, 1
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = after + 1
	}
	flush := http.NewResponseController(w).Flush
	counted := false
	for next <= i.f.profile.Events {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(i.f.profile.EventEvery):
		}
		i.f.mu.Lock()
		moves, dark := i.whole(), i.dark
		if i.group.State != models.MemberOpen && !counted {
			dark = true
		}
		if moves && !dark && !counted {
			i.f.runs[id]++
			counted = true
		}
		i.f.mu.Unlock()
		if dark {
			panic(http.ErrAbortHandler)
		}
		if !moves {
			continue
		}
		if next == 1 || w.Header().Get(headerStamp) == "" {
			i.tellOfItself(w, v)
			w.Header().Set(headerStamp, string(i.ID))
			w.Header().Set("Content-Type", "text/event-stream")
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", next, id); err != nil || flush() != nil {
			return
		}
		next++
	}
}
