package cluster

import "time"

// idleFactor limits each repeated task of the owner to a quarter of its time. With 3,000 instances
// a planning round takes 28 ms of a core and a view 1.2 ms (BenchmarkUpdateFleetView), five times
// that if a daemon has a fifth of a core; views of 20 to 50 ms were logged. Without the limit these
// tasks left no time for messages: the planner learned too late that its lease was renewed and
// began five terms within 9 s, and other daemons got a configuration after 5 s.
const idleFactor = 4

// throttle keeps a repeated task from taking all of the owner's time.
type throttle struct {
	started time.Time
	took    time.Duration
}

// ready reports whether the task may run again. It pauses for minInterval at least.
func (s throttle) ready(now time.Time, minInterval time.Duration) bool {
	return s.remaining(now, minInterval) <= 0
}

// remaining returns how long the task has to wait before it may run again.
func (s throttle) remaining(now time.Time, minInterval time.Duration) time.Duration {
	return max(minInterval, idleFactor*s.took) - now.Sub(s.started)
}
