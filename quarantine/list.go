package quarantine

import (
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// retention is how long a crash is kept. It is as long as regions may be partitioned, so that
	// the crashes seen on both sides can still be merged.
	retention = time.Hour
	// maxCrashes bounds the number of kept crashes, maxRequestsPerCrash the number of requests
	// and parts of each. They limit the memory that a caller can fill by crashing instances with ever new
	// requests.
	maxCrashes          = 256
	maxRequestsPerCrash = 256
)

// Crash is the crash of an instance, with the requests that it may have been running.
type Crash struct {
	Instance models.InstanceID
	// StartedAt is when the instance started, to distinguish restarts under the same ID; zero if not
	// known.
	StartedAt time.Time
	At        time.Time
	// Requests maps each request to whether it is cleared because it has succeeded elsewhere.
	Requests map[Digest]bool
}

// Source is the daemon that a crash was reported by, empty for this daemon.
type Source = models.DaemonID

// List holds the known crashes. Reports may be added in any order and any number of times: two
// reports of the same crash are merged, and a cleared request stays cleared. A List is not safe for
// concurrent use.
type List struct {
	crashes []*crash
	// version increases with each change, so that peers can be sent only what is new.
	version uint64
	// suspects holds the crashes of each request from which it is not cleared.
	suspects map[Digest][]*crash
	// statuses holds the evaluation of the requests that were top suspects, attributed the crashes
	// attributed to them.
	statuses   map[Digest]Status
	attributed map[*crash]bool
	// tied holds, for each quarantined part that is not enough to reject a prompt, the parts that
	// must all be in it.
	tied map[Digest][]Digest
	// sound holds when parts of prompts were last answered.
	sound map[Digest]time.Time
}

// crash is the internal form of a Crash.
type crash struct {
	instance models.UpstreamInstance
	at       time.Time
	requests map[Digest]suspicion
}

// suspicion records that a request was on an instance that crashed.
type suspicion struct {
	cleared bool
	version uint64
	source  Source
}

// Add adds a crash, and reports whether anything in it was new.
func (l *List) Add(c Crash, source Source, now time.Time) bool {
	if now.Sub(c.At) > retention {
		return false
	}
	if l.suspects == nil {
		l.suspects = map[Digest][]*crash{}
	}
	before := l.version
	known := l.find(c)
	if known == nil {
		known = &crash{
			instance: models.UpstreamInstance{ID: c.Instance, StartedAt: c.StartedAt}, at: c.At, requests: map[Digest]suspicion{},
		}
		l.crashes = append(l.crashes, known)
	}
	for d, cleared := range c.Requests {
		if !cleared && l.isSound(d, known.at) {
			// The other daemons have to learn that it is cleared, whoever reported the crash.
			l.record(known, d, true, "")
			continue
		}
		l.record(known, d, cleared, source)
	}
	if l.version == before {
		return false
	}
	l.Prune(now)
	return true
}

// find returns the known crash of the same instance since the same start, or nil.
func (l *List) find(c Crash) *crash {
	for _, known := range l.crashes {
		if known.instance.ID == c.Instance && known.instance.CompareIncarnation(c.StartedAt) == models.SameIncarnation {
			return known
		}
	}
	return nil
}

// record records that an instance had a request when it crashed, or that the request is cleared of
// the crash.
func (l *List) record(c *crash, d Digest, cleared bool, source Source) {
	known, present := c.requests[d]
	if present && (known.cleared || !cleared) || !present && len(c.requests) >= maxRequestsPerCrash {
		return
	}
	l.version++
	c.requests[d] = suspicion{cleared: cleared, version: l.version, source: source}
	switch {
	case !cleared:
		l.suspects[d] = append(l.suspects[d], c)
	case present:
		l.removeSuspect(d, c)
	}
}

// removeSuspect removes a crash from the crashes of a suspect.
func (l *List) removeSuspect(d Digest, c *crash) {
	remaining := slices.DeleteFunc(l.suspects[d], func(other *crash) bool { return other == c })
	if len(remaining) == 0 {
		delete(l.suspects, d)
		return
	}
	l.suspects[d] = remaining
}

// removeCrash removes a crash from the crashes of all its requests.
func (l *List) removeCrash(c *crash) {
	for d := range c.requests {
		l.removeSuspect(d, c)
	}
}

// Clear records that a request succeeded, which clears it of all crashes before. It reports whether
// the request was a suspect.
func (l *List) Clear(d Digest, now time.Time) bool {
	before := l.version
	for _, c := range l.crashes {
		if _, present := c.requests[d]; present {
			l.record(c, d, true, "")
		}
	}
	if l.version == before {
		return false
	}
	l.evaluate(now)
	return true
}

// Since returns what was added after a version by the included sources, and the current version.
func (l *List) Since(seen uint64, include func(Source) bool) ([]Crash, uint64) {
	var out []Crash
	for _, c := range l.crashes {
		report := Crash{Instance: c.instance.ID, StartedAt: c.instance.StartedAt, At: c.at, Requests: map[Digest]bool{}}
		for d, i := range c.requests {
			if i.version > seen && include(i.source) {
				report.Requests[d] = i.cleared
			}
		}
		if len(report.Requests) > 0 {
			out = append(out, report)
		}
	}
	return out, l.version
}

// CrashesOf returns the crashes that a request is a suspect of, each with this request only.
func (l *List) CrashesOf(d Digest) []Crash {
	var out []Crash
	for _, c := range l.suspects[d] {
		out = append(out, Crash{Instance: c.instance.ID, StartedAt: c.instance.StartedAt, At: c.at, Requests: map[Digest]bool{d: false}})
	}
	return out
}

// RecordedHere reports whether this daemon itself recorded anything about a request.
func (l *List) RecordedHere(d Digest) bool {
	return slices.ContainsFunc(l.crashes, func(c *crash) bool {
		i, present := c.requests[d]
		return present && i.source == ""
	})
}

// HasCrashed reports whether the instance is known to have crashed since its last start.
func (l *List) HasCrashed(i models.UpstreamInstance) bool {
	return l.find(Crash{Instance: i.ID, StartedAt: i.StartedAt}) != nil
}

// Empty reports whether no crash is known.
func (l *List) Empty() bool { return len(l.crashes) == 0 }

// Prune drops crashes older than retention, and the oldest crashes above maxCrashes that are not
// evidence against a quarantined request. Then it evaluates the requests again.
func (l *List) Prune(now time.Time) {
	l.pruneSound(now)
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crash) bool {
		old := now.Sub(c.at) > retention
		if old {
			l.removeCrash(c)
		}
		return old
	})
	l.evaluate(now)
	if len(l.crashes) <= maxCrashes {
		return
	}
	slices.SortStableFunc(l.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	for len(l.crashes) > maxCrashes {
		at := max(0, slices.IndexFunc(l.crashes, func(c *crash) bool { return !l.isEvidence(c) }))
		l.removeCrash(l.crashes[at])
		l.crashes = slices.Delete(l.crashes, at, at+1)
	}
	l.evaluate(now)
}

// isEvidence reports whether a quarantined request is a suspect of the crash.
func (l *List) isEvidence(c *crash) bool {
	for d, i := range c.requests {
		if !i.cleared && l.statuses[d].Quarantined {
			return true
		}
	}
	return false
}
