package replica

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	headerRetryAfter = "Retry-After"
	headerLeaving    = "Server-Leaving"
	// restLag is for how long after an instance asked a daemon for rest requests from there
	// may still arrive, restMost how many may until the rest ends.
	restLag  = 500 * time.Millisecond
	restMost = 2
)

// Shedding is how an instance turns requests away.
type Shedding struct {
	// Part is the part of the requests that it turns away.
	Part float64
	// Rest is what it then asks for, 0 for nothing.
	Rest time.Duration
}

// visit is a request that came to an instance.
type visit struct {
	id models.RequestID
	at time.Time
	// rest is what the instance asked for when it turned the request away.
	rest time.Duration
	// leaving tells that the answer said that the instance leaves, told when.
	leaving bool
	told    time.Time
}

// words is what an instance says of itself in answers, and to whom it did.
type words struct {
	shedding Shedding
	leaving  bool
	visits   []*visit
}

// Shed has the instance turn requests away from now on; the zero value ends that.
func (i *Instance) Shed(s Shedding) {
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	i.words.shedding = s
}

// SayLeaving has the instance say in all answers from now on, and nowhere else, that it is
// about to leave.
func (i *Instance) SayLeaving() {
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	i.words.leaving = true
}

// noteVisit records a request that came, and decides whether it is turned away. The fabric
// must be locked.
func (i *Instance) noteVisit(id models.RequestID) (v *visit, shed bool) {
	v = &visit{id: id, at: time.Now()}
	i.words.visits = append(i.words.visits, v)
	s := i.words.shedding
	if shed = s.Part > 0 && rand.Float64() < s.Part; shed {
		v.rest = s.Rest
	}
	return v, shed
}

// turnAway answers a request that is not run.
func (i *Instance) turnAway(w http.ResponseWriter, v *visit) {
	i.tellOfItself(w, v)
	w.Header().Set(headerNot, "1")
	if v.rest > 0 {
		w.Header().Set(headerRetryAfter, strconv.FormatFloat(v.rest.Seconds(), 'f', -1, 64))
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// tellOfItself puts into the head of an answer what the instance says of itself.
func (i *Instance) tellOfItself(w http.ResponseWriter, v *visit) {
	i.tellLimit(w)
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	v.told = time.Now()
	if i.words.leaving {
		v.leaving = true
		w.Header().Set(headerLeaving, "1")
	}
}

// Sender tells which daemon a caller sent a request to, and when.
type Sender func(id models.RequestID) (daemon string, at time.Time)

// Excused reports whether a daemon was restarted, frozen or cut off between two times.
type Excused func(daemon string, from, to time.Time) bool

// Visits is what came to an instance against its word.
type Visits struct {
	// MostInRest is the most requests of one daemon that came in one rest, Late how many
	// callers' requests came from a daemon that knew for long that the instance leaves.
	MostInRest, Late int
	// Shed is how many requests were turned away, Told how many answers said that the
	// instance leaves.
	Shed, Told int
	Broken     []string
}

// Visits tells which requests came to the instance from daemons that it had asked for rest,
// or, some time after it had said that it leaves, from daemons that had heard it.
func (i *Instance) Visits(sender Sender, excused Excused, drain time.Duration) Visits {
	i.f.mu.Lock()
	visits := make([]visit, len(i.words.visits))
	for n, v := range i.words.visits {
		visits[n] = *v
	}
	i.f.mu.Unlock()
	slices.SortFunc(visits, func(a, b visit) int { return a.at.Compare(b.at) })
	var out Visits
	leaving := map[string]time.Time{}
	for n, v := range visits {
		daemon, sent := sender(v.id)
		if heard, known := leaving[daemon]; known && sent.Sub(heard) > drain && !excused(daemon, heard, v.at) {
			out.Late++
			out.Broken = append(out.Broken, fmt.Sprintf("%s (%s): %s from %s, sent %v after that had heard that it leaves", i.ID, i.Service, v.id, daemon, sent.Sub(heard).Round(time.Millisecond)))
		}
		if v.leaving {
			out.Told++
			if _, known := leaving[daemon]; !known {
				leaving[daemon] = v.told
			}
		}
		if v.rest == 0 {
			continue
		}
		out.Shed++
		count := 0
		for _, later := range visits[n+1:] {
			from, _ := sender(later.id)
			since := later.at.Sub(v.told)
			if from == daemon && since > restLag && since < v.rest && !excused(daemon, v.told, later.at) {
				count++
			}
		}
		if count > restMost && count > out.MostInRest {
			out.Broken = append(out.Broken, fmt.Sprintf("%s (%s): asked %s for %v of rest and got %d requests meanwhile", i.ID, i.Service, daemon, v.rest, count))
		}
		out.MostInRest = max(out.MostInRest, count)
	}
	return out
}
