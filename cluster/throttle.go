package cluster

import "time"

// restFactor bounds the part of the owner's time that one repeated work takes: a
// quarter. With 3,000 instances a round of planning takes 28 ms of a core and a view
// 1.2 ms (BenchmarkShowFleet), five times that where a daemon has a fifth of one; 20 to
// 50 ms were logged for a view. Begun anew as soon as something came, they left no time
// for messages: the planner's daemon learned of its own renewed lease too late and
// planned in five terms within 9 s, others of a configuration after 5 s.
const idleFactor = 4

// spacing keeps a work that is done again and again from taking all time.
type throttle struct {
	started time.Time
	took    time.Duration
}

// due reports whether the work may be done again, which is to rest for a time at
// least.
func (s throttle) ready(now time.Time, minInterval time.Duration) bool {
	return now.Sub(s.started) >= max(minInterval, idleFactor*s.took)
}
