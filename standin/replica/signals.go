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
	// retryAfterLag is how long after a Retry-After response requests from the same daemon may
	// still arrive, maxRequestsInBackoff how many may arrive later until the backoff ends.
	retryAfterLag        = 500 * time.Millisecond
	maxRequestsInBackoff = 2
)

// Shedding configures how an instance sheds load.
type Shedding struct {
	// Fraction is the fraction of requests that it rejects.
	Fraction float64
	// RetryAfter is the Retry-After of the rejections; 0 sends none.
	RetryAfter time.Duration
}

// receivedRequest is a request that arrived at an instance.
type receivedRequest struct {
	id      models.RequestID
	arrived time.Time
	// retryAfter is the Retry-After of the rejection, if the request was rejected with one.
	retryAfter time.Duration
	// leavingSent is set if the response announced that the instance is leaving; responded is the
	// time of the response header.
	leavingSent bool
	responded   time.Time
}

// responseSignals is what an instance announces in its response headers, and the requests that it
// has received.
type responseSignals struct {
	shedding Shedding
	leaving  bool
	received []*receivedRequest
}

// SetShedding makes the instance shed load from now on; the zero value ends that.
func (i *Instance) SetShedding(s Shedding) {
	i.pool.mu.Lock()
	defer i.pool.mu.Unlock()
	i.signals.shedding = s
}

// AnnounceLeaving makes the instance announce in all responses from now on, and nowhere else, that
// it is leaving.
func (i *Instance) AnnounceLeaving() {
	i.pool.mu.Lock()
	defer i.pool.mu.Unlock()
	i.signals.leaving = true
}

// recordRequest records a received request, and decides whether to reject it. The pool must be
// locked.
func (i *Instance) recordRequest(id models.RequestID) (received *receivedRequest, shed bool) {
	received = &receivedRequest{id: id, arrived: time.Now()}
	i.signals.received = append(i.signals.received, received)
	s := i.signals.shedding
	if shed = s.Fraction > 0 && rand.Float64() < s.Fraction; shed {
		received.retryAfter = s.RetryAfter
	}
	return received, shed
}

// reject responds to a request that is not executed.
func (i *Instance) reject(w http.ResponseWriter, received *receivedRequest) {
	i.writeSignalHeaders(w, received)
	w.Header().Set(headerNotExecuted, "1")
	if received.retryAfter > 0 {
		w.Header().Set(headerRetryAfter, strconv.FormatFloat(received.retryAfter.Seconds(), 'f', -1, 64))
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// writeSignalHeaders writes the instance's announcements into the response header.
func (i *Instance) writeSignalHeaders(w http.ResponseWriter, received *receivedRequest) {
	i.writeLimitHeader(w)
	i.pool.mu.Lock()
	defer i.pool.mu.Unlock()
	received.responded = time.Now()
	if i.signals.leaving {
		received.leavingSent = true
		w.Header().Set(headerLeaving, "1")
	}
}

// Sender returns which daemon a caller sent a request to, and when.
type Sender func(id models.RequestID) (daemon string, at time.Time)

// Disrupted reports whether a daemon was restarted, frozen or cut off within an interval.
type Disrupted func(daemon string, from, to time.Time) bool

// SignalReport counts the requests that daemons sent although the instance's responses asked them
// not to.
type SignalReport struct {
	// MaxInBackoff is the highest number of requests that one daemon sent within one backoff,
	// LateRequests the number of requests that callers sent to a daemon more than the drain bound
	// after it had learned that the instance is leaving.
	MaxInBackoff, LateRequests int
	// Shed is the number of requests rejected with a Retry-After, LeavingResponses the number of
	// responses that announced that the instance is leaving.
	Shed, LeavingResponses int
	Violations             []string
}

// CheckSignals finds the requests from daemons that the instance had asked to back off, and those
// sent more than drainBound after the daemon had learned that the instance is leaving.
func (i *Instance) CheckSignals(sender Sender, disrupted Disrupted, drainBound time.Duration) SignalReport {
	i.pool.mu.Lock()
	received := make([]receivedRequest, len(i.signals.received))
	for n, req := range i.signals.received {
		received[n] = *req
	}
	i.pool.mu.Unlock()
	slices.SortFunc(received, func(a, b receivedRequest) int { return a.arrived.Compare(b.arrived) })
	var report SignalReport
	leaving := map[string]time.Time{}
	for n, req := range received {
		daemon, sent := sender(req.id)
		if learned, known := leaving[daemon]; known && sent.Sub(learned) > drainBound && !disrupted(daemon, learned, req.arrived) {
			report.LateRequests++
			report.Violations = append(report.Violations, fmt.Sprintf("%s (%s): request %s from %s, sent %v after the daemon learned that the instance is leaving", i.ID, i.Service, req.id, daemon, sent.Sub(learned).Round(time.Millisecond)))
		}
		if req.leavingSent {
			report.LeavingResponses++
			if _, known := leaving[daemon]; !known {
				leaving[daemon] = req.responded
			}
		}
		if req.retryAfter == 0 {
			continue
		}
		report.Shed++
		count := 0
		for _, later := range received[n+1:] {
			from, _ := sender(later.id)
			since := later.arrived.Sub(req.responded)
			if from == daemon && since > retryAfterLag && since < req.retryAfter && !disrupted(daemon, req.responded, later.arrived) {
				count++
			}
		}
		if count > maxRequestsInBackoff && count > report.MaxInBackoff {
			report.Violations = append(report.Violations, fmt.Sprintf("%s (%s): asked %s to back off for %v and received %d requests meanwhile", i.ID, i.Service, daemon, req.retryAfter, count))
		}
		report.MaxInBackoff = max(report.MaxInBackoff, count)
	}
	return report
}
