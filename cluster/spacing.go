package cluster

import "time"

// restFactor bounds the part of the owner's time that one repeated work takes: a
// quarter. A round of planning takes 28 ms with 3,000 instances, a view some 6 ms,
// and four times that where a daemon has a quarter of a core. Begun anew as soon as
// something came, they left no time for messages: the planner's daemon learned of
// its own renewed lease too late and planned in five terms within 9 s, others of a
// configuration after 5 s.
const restFactor = 4

// spacing keeps a work that is done again and again from taking all time.
type spacing struct {
	began time.Time
	took  time.Duration
}

// due reports whether the work may be done again, which is to rest for a time at
// least.
func (s spacing) due(now time.Time, least time.Duration) bool {
	return now.Sub(s.began) >= max(least, restFactor*s.took)
}
