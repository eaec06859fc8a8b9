// Package overload decides how many requests a daemon takes at once, and whether it is overloaded.
// A daemon that begins more requests than its processor can bear serves none of them: all become
// slower than their callers wait for, and what is done for them is lost.
//
// The package is pure: it does no I/O, and the caller passes in all times and measurements.
package overload

import (
	"math"
	"time"
)

// Policy configures a Limit.
type Policy struct {
	// Min and Max bound the limit, Initial is its first value.
	Min, Initial, Max int
	// MaxDelay is the delay above which the limit falls.
	MaxDelay time.Duration
	// FallTime is the time in which the limit falls to half while the delay is too long, MaxFall the
	// smallest factor by which it falls at once.
	FallTime time.Duration
	MaxFall  float64
	// DoubleTime is the time in which the limit doubles while it is reached and no delay was too
	// long yet. Afterwards it rises by Growth requests per second.
	DoubleTime time.Duration
	Growth     float64
	// MaxSlowdown is by what factor requests may take longer than usual before the limit falls.
	MaxSlowdown float64
}

const (
	minRequests = 8
	// minInitialRequests and initialRequestsPerCore set the first limit, about half of what a core
	// can bear of requests that last for a second.
	minInitialRequests     = 64
	initialRequestsPerCore = 500
	// usedFraction is the fraction of the limit that must be used for the limit to fall.
	usedFraction = 0.9
	// calmFraction is the fraction of the limit below which a daemon is calm.
	calmFraction = 0.5
)

// DefaultPolicy returns the policy of a daemon that has a number of processor cores, or a fraction of
// one, and can hold at most maxRequests requests.
func DefaultPolicy(cores float64, maxRequests int) Policy {
	return Policy{
		Min: min(minRequests, maxRequests), Initial: min(maxRequests, max(minInitialRequests, int(initialRequestsPerCore*cores))), Max: maxRequests,
		MaxDelay: 5 * time.Millisecond, FallTime: 400 * time.Millisecond, MaxFall: 0.5, DoubleTime: 100 * time.Millisecond, Growth: 200, MaxSlowdown: 2,
	}
}

// Limit is an adaptive limit on concurrent requests, with additive increase and multiplicative
// decrease by the delay with which work gets to run. The delay alone does not tell that a daemon has
// too many requests: under a quota it is paused whenever it uses all of its processor time. So the
// limit does not fall below the number of requests that are in progress if those that are served
// take MaxSlowdown times as long as usual. It is not safe for concurrent use.
type Limit struct {
	policy  Policy
	current float64
	last    time.Time
	// fell is set once a delay was too long.
	fell bool
	// calm is set while no work waits and the limit is far.
	calm      bool
	durations durations
}

// NewLimit returns a limit with its first value.
func NewLimit(p Policy, now time.Time) *Limit {
	return &Limit{policy: p, current: float64(p.Initial), last: now}
}

// Max returns how many requests may be in progress.
func (l *Limit) Max() int { return int(l.current) }

// Observe records a delay, how many requests are in progress, and whether the limit was reached
// since the last delay.
func (l *Limit) Observe(now time.Time, delay time.Duration, active int, reached bool) {
	l.calm = delay <= l.policy.MaxDelay && float64(active) < calmFraction*l.current
	elapsed := now.Sub(l.last)
	l.last = now
	switch {
	case delay > l.policy.MaxDelay:
		if float64(active) < usedFraction*l.current {
			// Something else than too many requests causes the delay.
			break
		}
		l.fell = true
		l.current *= max(l.policy.MaxFall, math.Exp2(-elapsed.Seconds()/l.policy.FallTime.Seconds()))
	case !reached:
	case l.fell:
		l.current += l.policy.Growth * elapsed.Seconds()
	default:
		l.current *= min(2, math.Exp2(elapsed.Seconds()/l.policy.DoubleTime.Seconds()))
	}
	l.current = min(float64(l.policy.Max), max(float64(l.policy.Min), l.current, l.policy.MaxSlowdown*l.durations.usualLoad(now)))
}

// Served records how long a request took that was served.
func (l *Limit) Served(now time.Time, took time.Duration) { l.durations.add(now, took, l.calm) }

// UsualDuration returns how long requests take while the daemon is calm.
func (l *Limit) UsualDuration() time.Duration {
	return time.Duration(l.durations.usual * float64(time.Second))
}
