package placement

import (
	"math"
	"time"
)

const (
	// slownessHalfLife is the time after which an observation counts half.
	slownessHalfLife = 2 * time.Second
	// minSlowness and maxSlowness bound observations, so that a stall or a wrong prediction is
	// forgotten within seconds.
	minSlowness = 0.8
	maxSlowness = 4
	// halfSureObservations is the number of new observations that count as much as the assumption
	// that the group is not slow. One first event that is four times as late as predicted makes
	// 1.3, two make 2: a daemon that sends a group 0.4 requests a second has one or two.
	halfSureObservations = 2
)

// Slowness estimates from a daemon's own requests by which factor a group's first events are later
// than predicted. It is a geometric mean, which one late first event changes less than an
// arithmetic one. The zero value has no observations. It is not safe for concurrent use.
type Slowness struct {
	// weight is the decayed number of observations, logSum the decayed sum of their logarithms.
	weight, logSum float64
	updated        time.Time
	observed       bool
	pending        map[*PendingFirstEvent]struct{}
}

// PendingFirstEvent is a request that waits for its first event.
type PendingFirstEvent struct {
	sentAt    time.Time
	predicted time.Duration
}

// ratio returns the time that the request has waited so far, divided by the prediction.
func (f *PendingFirstEvent) ratio(now time.Time) float64 {
	return now.Sub(f.sentAt).Seconds() / f.predicted.Seconds()
}

// Begin records that a request is sent to the group. The prediction must be positive and made for a
// group that is not slow.
func (s *Slowness) Begin(predicted time.Duration, now time.Time) *PendingFirstEvent {
	f := &PendingFirstEvent{sentAt: now, predicted: predicted}
	if s.pending == nil {
		s.pending = map[*PendingFirstEvent]struct{}{}
	}
	s.pending[f] = struct{}{}
	return f
}

// Arrived records that the first event of a request has arrived.
func (s *Slowness) Arrived(f *PendingFirstEvent, now time.Time) {
	if _, pending := s.pending[f]; !pending {
		return
	}
	delete(s.pending, f)
	s.observed = true
	s.observe(f.ratio(now), now)
}

// Abandoned records that a request has ended without a first event. It is an observation only if
// the first event was later than predicted by then.
func (s *Slowness) Abandoned(f *PendingFirstEvent, now time.Time) {
	if _, pending := s.pending[f]; !pending {
		return
	}
	delete(s.pending, f)
	if ratio := f.ratio(now); ratio > 1 {
		s.observe(ratio, now)
	}
}

func (s *Slowness) observe(ratio float64, now time.Time) {
	weight, logSum := s.decayed(now)
	s.weight, s.logSum, s.updated = weight+1, logSum+math.Log(bounded(ratio)), now
}

func (s *Slowness) decayed(now time.Time) (weight, logSum float64) {
	factor := math.Exp2(-now.Sub(s.updated).Seconds() / slownessHalfLife.Seconds())
	return s.weight * factor, s.logSum * factor
}

// Factor returns the estimate, close to 1 if there are few or only old observations. Requests that
// already wait longer than predicted count as observations.
func (s *Slowness) Factor(now time.Time) float64 {
	weight, logSum := s.decayed(now)
	for f := range s.pending {
		if ratio := f.ratio(now); ratio > 1 {
			weight, logSum = weight+1, logSum+math.Log(bounded(ratio))
		}
	}
	if weight == 0 {
		return 1
	}
	sure := weight * weight / (weight*weight + halfSureObservations*halfSureObservations)
	return math.Exp(logSum / weight * sure)
}

// Observed reports whether a first event has ever arrived from the group.
func (s *Slowness) Observed() bool { return s.observed }

// InUse reports whether requests wait for their first events.
func (s *Slowness) InUse() bool { return len(s.pending) > 0 }

func bounded(ratio float64) float64 { return min(maxSlowness, max(minSlowness, ratio)) }
