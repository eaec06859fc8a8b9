package quarantine

import (
	"bytes"
	"slices"
	"time"
)

const (
	// CrashLimit is the number of instances that a request must crash to be quarantined.
	CrashLimit = 3
	// minLead is how many more crashed instances a request must have been on than any other
	// request. With a smaller lead, the other request may be the cause.
	minLead = 2
	// contestedCrashLimit is the number of crashed instances that is enough whatever other requests
	// share them.
	contestedCrashLimit = 5
	// quarantineTime is how long a request is rejected after its last crash. After that it may be
	// sent once, since the instances may have been updated; another crash starts the quarantine
	// again.
	quarantineTime = 15 * time.Minute
)

// Status is the evaluation of a request.
type Status struct {
	// Crashes is the number of instances that crashed with the request, less the crashes attributed
	// to other requests.
	Crashes int
	// Quarantined is set if the request must not be sent.
	Quarantined bool
	// Last is when the newest of the crashes occurred.
	Last time.Time
}

// NeedsIsolation reports whether one more crash may be decisive. Such a request is isolated: it
// runs on an instance without other isolated requests.
func (s Status) NeedsIsolation() bool { return !s.Quarantined && s.Crashes >= CrashLimit-1 }

// Status returns the evaluation of a request.
func (l *List) Status(d Digest) Status {
	if s, known := l.statuses[d]; known {
		return s
	}
	return summarize(l.unattributed(l.suspects[d]))
}

// IsolationIndex returns which of n groups or instances an isolated request is sent to. Isolated
// requests get different ones as long as there are enough, on all daemons that know the same
// crashes. Otherwise, requests that share the few groups of a model would all be blamed for the
// same crashes.
func (l *List) IsolationIndex(d Digest, n int) int {
	before := 0
	for other := range l.suspects {
		if !other.IsPart() && bytes.Compare(other[:], d[:]) < 0 && l.Status(other).NeedsIsolation() {
			before++
		}
	}
	return before % n
}

// Quarantined returns the requests that must not be sent.
func (l *List) Quarantined() map[Digest]Status {
	out := map[Digest]Status{}
	for d, s := range l.statuses {
		if s.Quarantined {
			out[d] = s
		}
	}
	return out
}

// evaluate finds the requests and parts that caused the crashes. All requests that were on an instance when
// it crashed are suspects. All crashes of the request that was on most of the crashed instances are
// attributed to it, and only the remaining crashes count against other requests. So requests that
// shared instances with a crashing request are cleared once that request is identified. While
// another request was on nearly all of the same instances, neither is identified.
func (l *List) evaluate(now time.Time) {
	l.statuses, l.attributed = map[Digest]Status{}, map[*crash]bool{}
	candidates := map[Digest][]*crash{}
	for d, crashes := range l.suspects {
		if len(crashes) >= CrashLimit && !d.IsPart() {
			candidates[d] = crashes
		}
	}
	for top := l.topSuspects(candidates); len(top) > 0; top = l.topSuspects(candidates) {
		l.attribute(top, now)
	}
	l.evaluateParts(now)
}

// topSuspects returns the candidates with the most unattributed crashes, if these reach CrashLimit.
func (l *List) topSuspects(candidates map[Digest][]*crash) map[Digest][]*crash {
	most, suspects := CrashLimit, map[Digest][]*crash{}
	for d, crashes := range candidates {
		remaining := l.unattributed(crashes)
		if len(remaining) > most {
			most, suspects = len(remaining), map[Digest][]*crash{}
		}
		if len(remaining) == most {
			suspects[d] = remaining
		}
	}
	return suspects
}

// unattributed returns the crashes that are not attributed to any request.
func (l *List) unattributed(crashes []*crash) []*crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c *crash) bool { return l.attributed[c] })
}

// attribute attributes the crashes to the top suspects. It quarantines a suspect if it has a
// sufficient lead over all other requests or reaches contestedCrashLimit.
func (l *List) attribute(top map[Digest][]*crash, now time.Time) {
	for d, crashes := range top {
		s := summarize(crashes)
		identified := len(crashes)-l.maxShared(d, crashes) >= minLead || len(crashes) >= contestedCrashLimit
		s.Quarantined = identified && now.Sub(s.Last) < quarantineTime
		l.statuses[d] = s
	}
	for _, crashes := range top {
		for _, c := range crashes {
			l.attributed[c] = true
		}
	}
}

// maxShared returns the highest number of a request's crashes that any single other request shares.
func (l *List) maxShared(d Digest, crashes []*crash) int {
	shared := map[Digest]int{}
	most := 0
	for _, c := range crashes {
		for other, i := range c.requests {
			if other == d || i.cleared || other.IsPart() {
				continue
			}
			shared[other]++
			most = max(most, shared[other])
		}
	}
	return most
}

func summarize(crashes []*crash) Status {
	s := Status{Crashes: len(crashes)}
	for _, c := range crashes {
		if c.at.After(s.Last) {
			s.Last = c.at
		}
	}
	return s
}
