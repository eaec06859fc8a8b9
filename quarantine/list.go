package quarantine

import (
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// kept is for how long a crash is remembered: as long as regions may be parted, so
	// that what either side saw still joins.
	kept = time.Hour
	// mostCrashes and mostRequests bound what is remembered, all crashes and the
	// requests of one, against a caller who crashes instances with ever new requests.
	mostCrashes  = 256
	mostRequests = 128
)

// Crash is one life of an instance that ended, and requests that it may have been
// running.
type Crash struct {
	Instance models.InstanceID
	// Born tells lives of one id apart; it is zero where births are not told.
	Born time.Time
	At   time.Time
	// Requests tells of each whether it was cleared: it has ended well elsewhere.
	Requests map[Digest]bool
}

// Source tells who told of something; the empty one is this daemon itself.
type Source = models.DaemonID

// List holds crashes. What is told joins in any order and any number of times: a crash
// that two daemons saw is one, and who was cleared of it stays so. A List is not safe
// for use by several goroutines.
type List struct {
	crashes []*crash
	// changes numbers what is learned, so that others can be told what is new.
	changes uint64
	// suspects holds, by request, the crashes that it was not cleared of.
	suspects map[Digest][]*crash
	// decided is what is held against requests that were on enough instances, explained
	// the crashes that it is held against them.
	decided   map[Digest]Standing
	explained map[*crash]bool
}

// crash is a Crash as the list keeps it.
type crash struct {
	instance models.UpstreamInstance
	at       time.Time
	requests map[Digest]implication
}

// implication is that a request was on an instance that crashed.
type implication struct {
	cleared bool
	change  uint64
	from    Source
}

// Add takes in a crash, and reports whether anything of it was new.
func (l *List) Add(c Crash, from Source, now time.Time) bool {
	if now.Sub(c.At) > kept {
		return false
	}
	if l.suspects == nil {
		l.suspects = map[Digest][]*crash{}
	}
	before := l.changes
	known := l.find(c)
	if known == nil {
		known = &crash{
			instance: models.UpstreamInstance{ID: c.Instance, Born: c.Born}, at: c.At, requests: map[Digest]implication{},
		}
		l.crashes = append(l.crashes, known)
	}
	for d, cleared := range c.Requests {
		l.implicate(known, d, cleared, from)
	}
	if l.changes == before {
		return false
	}
	l.Prune(now)
	return true
}

// find returns the crash of the same life of an instance, if it is known.
func (l *List) find(c Crash) *crash {
	for _, known := range l.crashes {
		if known.instance.ID == c.Instance && known.instance.LifeOf(c.Born) == models.SameLife {
			return known
		}
	}
	return nil
}

// implicate notes that an instance had a request when it crashed, or that the request
// was cleared of it.
func (l *List) implicate(c *crash, d Digest, cleared bool, from Source) {
	known, there := c.requests[d]
	if there && (known.cleared || !cleared) || !there && len(c.requests) >= mostRequests {
		return
	}
	l.changes++
	c.requests[d] = implication{cleared: cleared, change: l.changes, from: from}
	switch {
	case !cleared:
		l.suspects[d] = append(l.suspects[d], c)
	case there:
		l.unsuspect(d, c)
	}
}

// unsuspect holds a crash against a request no more.
func (l *List) unsuspect(d Digest, c *crash) {
	left := slices.DeleteFunc(l.suspects[d], func(other *crash) bool { return other == c })
	if len(left) == 0 {
		delete(l.suspects, d)
		return
	}
	l.suspects[d] = left
}

// drop forgets a crash.
func (l *List) drop(c *crash) {
	for d := range c.requests {
		l.unsuspect(d, c)
	}
}

// Clear notes that a request ended well, so that it did not crash the instances which it
// was on before. It reports whether it was suspected of any.
func (l *List) Clear(d Digest, now time.Time) bool {
	before := l.changes
	for _, c := range l.crashes {
		if _, there := c.requests[d]; there {
			l.implicate(c, d, true, "")
		}
	}
	if l.changes == before {
		return false
	}
	l.judge(now)
	return true
}

// Since returns what was learned after a change from those sources that are to be told
// of, and the newest change.
func (l *List) Since(seen uint64, tells func(Source) bool) ([]Crash, uint64) {
	var out []Crash
	for _, c := range l.crashes {
		told := Crash{Instance: c.instance.ID, Born: c.instance.Born, At: c.at, Requests: map[Digest]bool{}}
		for d, i := range c.requests {
			if i.change > seen && tells(i.from) {
				told.Requests[d] = i.cleared
			}
		}
		if len(told.Requests) > 0 {
			out = append(out, told)
		}
	}
	return out, l.changes
}

// Against returns the crashes that a request is held to have caused, with that request
// alone.
func (l *List) Against(d Digest) []Crash {
	var out []Crash
	for _, c := range l.suspects[d] {
		out = append(out, Crash{Instance: c.instance.ID, Born: c.instance.Born, At: c.at, Requests: map[Digest]bool{d: false}})
	}
	return out
}

// Own reports whether this daemon itself found anything about a request.
func (l *List) Own(d Digest) bool {
	return slices.ContainsFunc(l.crashes, func(c *crash) bool {
		i, there := c.requests[d]
		return there && i.from == ""
	})
}

// HasCrashed reports whether this life of an instance is known to have crashed.
func (l *List) HasCrashed(i models.UpstreamInstance) bool {
	return l.find(Crash{Instance: i.ID, Born: i.Born}) != nil
}

// Empty reports whether no crash is known.
func (l *List) Empty() bool { return len(l.crashes) == 0 }

// Prune forgets what is old and what is too much, the oldest first that no quarantined
// request is known by, and judges anew.
func (l *List) Prune(now time.Time) {
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crash) bool {
		old := now.Sub(c.at) > kept
		if old {
			l.drop(c)
		}
		return old
	})
	l.judge(now)
	if len(l.crashes) <= mostCrashes {
		return
	}
	slices.SortStableFunc(l.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	for len(l.crashes) > mostCrashes {
		at := max(0, slices.IndexFunc(l.crashes, func(c *crash) bool { return !l.evidence(c) }))
		l.drop(l.crashes[at])
		l.crashes = slices.Delete(l.crashes, at, at+1)
	}
	l.judge(now)
}

// evidence reports whether a quarantined request is known by the crash.
func (l *List) evidence(c *crash) bool {
	for d, i := range c.requests {
		if !i.cleared && l.decided[d].Quarantined {
			return true
		}
	}
	return false
}
