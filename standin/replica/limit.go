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
	// limitWindow is the time window over which requests are checked against a limit. They may
	// reach limitFactor times what the limit allows plus limitSlack.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitLag is how long a higher limit still counts after a lower one was announced: responses
	// with the new limit are still in flight.
	limitLag = 500 * time.Millisecond
	// limitStep is the step in which limits are integrated, limitTolerance the rounding error that
	// this may cause.
	limitStep      = 10 * time.Millisecond
	limitTolerance = 1e-6
)

// announcedLimit is a limit that an instance announced from a point in time.
type announcedLimit struct {
	since time.Time
	rate  float64
}

// limitHistory holds the limits that an instance announced, and the arrival times of requests.
type limitHistory struct {
	announced []announcedLimit
	arrivals  []time.Time
}

// AnnounceLimit makes the instance announce in all responses from now on how many requests a
// second it accepts; models.NoLimit ends that.
func (i *Instance) AnnounceLimit(rate float64) {
	i.pool.mu.Lock()
	defer i.pool.mu.Unlock()
	i.limits.announced = append(i.limits.announced, announcedLimit{time.Now(), rate})
}

// recordArrival records the arrival of a request. The pool must be locked.
func (i *Instance) recordArrival() {
	now := time.Now()
	i.limits.arrivals = append(i.limits.arrivals, now)
	i.checkArrival(now)
}

// writeLimitHeader writes the limit into the response header.
func (i *Instance) writeLimitHeader(w http.ResponseWriter) {
	i.pool.mu.Lock()
	defer i.pool.mu.Unlock()
	if rate := i.limits.at(time.Now()); rate != models.NoRateLimit {
		w.Header().Set(headerLimit, strconv.FormatFloat(rate, 'f', -1, 64))
	}
}

// at returns the limit at a point in time.
func (r *limitHistory) at(t time.Time) float64 {
	rate := models.NoRateLimit
	for _, n := range r.announced {
		if !n.since.After(t) {
			rate = n.rate
		}
	}
	return rate
}

// highest returns the highest limit within an interval.
func (r *limitHistory) highest(from, to time.Time) float64 {
	rate := r.at(from)
	for _, n := range r.announced {
		if n.since.After(from) && !n.since.After(to) {
			rate = max(rate, n.rate)
		}
	}
	return rate
}

// allowed returns how many requests the limits allow within an interval, and whether there was a
// limit all the time.
func (r *limitHistory) allowed(from, to time.Time) (float64, bool) {
	sum := 0.0
	for t := from; t.Before(to); t = t.Add(limitStep) {
		rate := r.highest(t.Add(-limitLag), t)
		if rate == models.NoRateLimit {
			return 0, false
		}
		sum += rate * limitStep.Seconds()
	}
	return sum, true
}

// LimitReport compares the requests that an instance received with its limits.
type LimitReport struct {
	Instance models.InstanceID
	// Allowed is the number of requests that the limits allowed, Sent the number received in the
	// same time.
	Allowed float64
	Sent    int
	// Violation describes the window that exceeded the limit the most.
	Violation string
}

// CheckLimit compares the received requests with the announced limits, from the propagation time
// after the first announcement until now.
func (i *Instance) CheckLimit(propagation time.Duration) LimitReport {
	i.pool.mu.Lock()
	history := limitHistory{slices.Clone(i.limits.announced), slices.Clone(i.limits.arrivals)}
	i.pool.mu.Unlock()
	report := LimitReport{Instance: i.ID}
	if len(history.announced) == 0 {
		return report
	}
	from, worst := history.announced[0].since.Add(propagation), limitTolerance
	report.Allowed, _ = history.allowed(from, time.Now())
	for n, t := range history.arrivals {
		windowStart := t.Add(-limitWindow)
		if windowStart.Before(from) {
			windowStart = from
		}
		if t.Before(from) {
			continue
		}
		report.Sent++
		count := 0
		for _, earlier := range history.arrivals[:n+1] {
			if !earlier.Before(windowStart) {
				count++
			}
		}
		allowed, limited := history.allowed(t.Add(-limitWindow), t)
		maxRequests := limitFactor*allowed + limitSlack
		if limited && float64(count)-maxRequests > worst {
			worst = float64(count) - maxRequests
			report.Violation = fmt.Sprintf("%s (%s): %d requests in %v, allowed %.0f", i.ID, i.Service, count, limitWindow, maxRequests)
		}
	}
	return report
}

// RequestsAfterLimit counts the requests that arrived within d after the limit ended.
func (i *Instance) RequestsAfterLimit(d time.Duration) int {
	i.pool.mu.Lock()
	defer i.pool.mu.Unlock()
	count := 0
	for _, n := range i.limits.announced {
		for _, t := range i.limits.arrivals {
			if n.rate == models.NoRateLimit && t.After(n.since) && t.Before(n.since.Add(d)) {
				count++
			}
		}
	}
	return count
}
