package replica

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	headerLimit = "Server-Limit"
	// limitWindow is the time over which requests are held against a limit, limitFactor
	// and limitSlack what may come of it beyond what the limit allows.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitLag is for how long a higher limit counts beside the one that follows: answers
	// that name the new one are on their way.
	limitLag = 500 * time.Millisecond
	// limitStep is the step in which limits are added up, limitError what that may be off by.
	limitStep  = 10 * time.Millisecond
	limitError = 1e-6
)

// limitNamed is a limit that an instance named from some time on.
type limitNamed struct {
	at   time.Time
	rate float64
}

// limitRecord is what an instance named, and when requests came.
type limitRecord struct {
	named    []limitNamed
	arrivals []time.Time
}

// NameLimit has the instance name, in all answers from now on, how many requests a second
// it takes; models.NoLimit ends that.
func (i *Instance) NameLimit(rate float64) {
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	i.limit.named = append(i.limit.named, limitNamed{time.Now(), rate})
}

// noteArrival records that a request came. The fabric must be locked.
func (i *Instance) noteArrival() { i.limit.arrivals = append(i.limit.arrivals, time.Now()) }

// tellLimit names the limit in the head of an answer.
func (i *Instance) tellLimit(w http.ResponseWriter) {
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	if rate := i.limit.at(time.Now()); rate != models.NoRateLimit {
		w.Header().Set(headerLimit, strconv.FormatFloat(rate, 'f', -1, 64))
	}
}

// at is the limit at some time.
func (r *limitRecord) at(t time.Time) float64 {
	rate := models.NoRateLimit
	for _, n := range r.named {
		if !n.at.After(t) {
			rate = n.rate
		}
	}
	return rate
}

// most is the highest limit from one time to another.
func (r *limitRecord) most(from, to time.Time) float64 {
	rate := r.at(from)
	for _, n := range r.named {
		if n.at.After(from) && !n.at.After(to) {
			rate = max(rate, n.rate)
		}
	}
	return rate
}

// allowed is how many requests the limit allows from one time to another, and whether there
// was one all the time.
func (r *limitRecord) allowed(from, to time.Time) (float64, bool) {
	sum := 0.0
	for t := from; t.Before(to); t = t.Add(limitStep) {
		rate := r.most(t.Add(-limitLag), t)
		if rate == models.NoRateLimit {
			return 0, false
		}
		sum += rate * limitStep.Seconds()
	}
	return sum, true
}

// Limited is what became of an instance's limit.
type Limited struct {
	Instance models.InstanceID
	// Allowed is what the limit came to, Sent how many requests came meanwhile.
	Allowed float64
	Sent    int
	// Broken tells of the window with the most requests beyond what the limit allows.
	Broken string
}

// Limited tells what became of the instance's limit, from some time after it was first
// named until now.
func (i *Instance) Limited(contact time.Duration) Limited {
	i.f.mu.Lock()
	record := limitRecord{slices.Clone(i.limit.named), slices.Clone(i.limit.arrivals)}
	i.f.mu.Unlock()
	out := Limited{Instance: i.ID}
	if len(record.named) == 0 {
		return out
	}
	from, over := record.named[0].at.Add(contact), limitError
	out.Allowed, _ = record.allowed(from, time.Now())
	for n, t := range record.arrivals {
		began := t.Add(-limitWindow)
		if began.Before(from) {
			began = from
		}
		if t.Before(from) {
			continue
		}
		out.Sent++
		count := 0
		for _, earlier := range record.arrivals[:n+1] {
			if !earlier.Before(began) {
				count++
			}
		}
		allowed, limited := record.allowed(t.Add(-limitWindow), t)
		most := limitFactor*allowed + limitSlack
		if limited && float64(count)-most > over {
			over = float64(count) - most
			out.Broken = fmt.Sprintf("%s (%s): %d requests in %v, allowed %.0f", i.ID, i.Service, count, limitWindow, most)
		}
	}
	return out
}

// RushAfter is how many requests came within some time after the limit ended.
func (i *Instance) RushAfter(d time.Duration) int {
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	count := 0
	for _, n := range i.limit.named {
		for _, t := range i.limit.arrivals {
			if n.rate == models.NoRateLimit && t.After(n.at) && t.Before(n.at.Add(d)) {
				count++
			}
		}
	}
	return count
}
