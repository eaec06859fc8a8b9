package placement

import "time"

// Wait is what is known of a request for which there is no place now.
type Wait struct {
	// Aim is the time in which its first event should come, from when it came, Left how
	// long its caller waits at all, Pause the longest pause that a caller puts up with
	// who has events already.
	Aim, Left, Pause time.Duration
	// Begun tells that the caller has events already.
	Begun bool
	// Unknown tells that nothing is known yet of where it could go, Running how long the
	// daemon had run when the request came.
	Unknown bool
	Running time.Duration
}

// Patience is how long a request waits before it is refused, from when it came or, if
// it has begun, from its last event.
//
// All daemons of a site lost power and started again within 0.2 s: for 0.3 to 0.5 s
// they knew no instances yet, and refused what came, so that callers, most of whom come
// back once, had spent that by the time that there were places. Now what comes waits
// as long as it takes to know.
func (p Policy) Patience(w Wait) time.Duration {
	switch {
	case w.Begun:
		return w.Pause
	case w.Unknown && w.Running < p.StartTime:
		return min(p.StartTime-w.Running, time.Duration(p.LeftPart*float64(w.Left)))
	default:
		return time.Duration(p.QueuePart * float64(w.Aim))
	}
}
