package cluster

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/quarantine"
)

// Quarantine holds what all daemons found of instances that crashed and the requests that
// they had. It is safe for use by several goroutines.
type Quarantine struct {
	log zerolog.Logger
	// known tells that any crash is known at all.
	known atomic.Bool
	// found is called when this daemon found something that others are to be told.
	found func()
	// changed yields requests whose record in the store is to be written anew.
	changed chan quarantine.Digest

	mu   sync.Mutex
	list quarantine.List
	// refused are the requests that must not be sent, as they were told last.
	refused map[quarantine.Digest]quarantine.Status
}

// NewQuarantine returns an empty quarantine. The function is called when there is
// something to tell other daemons.
func NewQuarantine(found func(), set *metrics.Set, log zerolog.Logger) *Quarantine {
	q := &Quarantine{
		log: log, found: found, changed: make(chan quarantine.Digest, recordsLen), refused: map[quarantine.Digest]quarantine.Status{},
	}
	set.NewGauge("lupinkeel_quarantined_requests", func() float64 {
		q.mu.Lock()
		defer q.mu.Unlock()
		return float64(len(q.refused))
	})
	return q
}

// Crashed notes that an instance crashed with requests of this daemon on it.
func (q *Quarantine) Crashed(c quarantine.Crash) {
	if q.add(c, "") {
		q.found()
	}
}

// add takes in a crash, and reports whether anything of it was new.
func (q *Quarantine) add(c quarantine.Crash, from quarantine.Source) bool {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	added := q.list.Add(c, from, now)
	q.note(now)
	return added
}

// EndedWell notes that an instance answered a request, so that it is no longer suspected.
func (q *Quarantine) EndedWell(d quarantine.Digest) {
	now := time.Now()
	q.mu.Lock()
	cleared := q.list.Clear(d, now)
	q.note(now)
	q.mu.Unlock()
	if cleared {
		q.found()
	}
}

// Standing is what is held against a request.
func (q *Quarantine) Standing(d quarantine.Digest) quarantine.Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.Status(d)
}

// HasCrashed reports whether this life of an instance is known to have crashed.
func (q *Quarantine) HasCrashed(i models.UpstreamInstance) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.HasCrashed(i)
}

// Refused lists the requests that must not be sent.
func (q *Quarantine) Refused() map[quarantine.Digest]quarantine.Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.refused)
}

// Place tells which of some places a request that is on trial goes to.
func (q *Quarantine) Place(d quarantine.Digest, places int) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.IsolationIndex(d, places)
}

// Holds reports whether anything is held against any request. Where nothing is, requests
// need no digest.
func (q *Quarantine) Holds() bool { return q.known.Load() }

// Prune forgets what is old.
func (q *Quarantine) Prune() {
	if !q.Holds() {
		return
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.Prune(now)
	q.note(now)
}

// note tells in the log which requests are refused from now on and which no longer, and
// has that written into the store if this daemon found any of the crashes. The quarantine
// must be locked.
func (q *Quarantine) note(now time.Time) {
	q.known.Store(!q.list.Empty())
	refused := q.list.Quarantined()
	for d, s := range refused {
		if _, before := q.refused[d]; !before {
			q.log.Warn().Stringer("digest", d).Int("crashes", s.Crashes).Dur("age", now.Sub(s.Last)).Msg("request-quarantined")
			q.recordOwn(d)
		}
	}
	for d := range q.refused {
		if _, still := refused[d]; !still {
			q.log.Info().Stringer("digest", d).Msg("request-released")
			q.recordOwn(d)
		}
	}
	q.refused = refused
}

// CrashNews is what a daemon tells others of an instance that crashed.
type CrashNews struct {
	Instance models.InstanceID `msgpack:"i"`
	Born     time.Time         `msgpack:"b,omitempty"`
	// Age is how long ago it crashed.
	Age time.Duration `msgpack:"a"`
	// Requests are those that it had, Cleared those of them that ended well elsewhere.
	Requests []quarantine.Digest `msgpack:"r,omitempty"`
	Cleared  []quarantine.Digest `msgpack:"c,omitempty"`
}

// newsOf is a crash as other daemons are told.
func newsOf(c quarantine.Crash, now time.Time) CrashNews {
	out := CrashNews{Instance: c.Instance, Born: c.StartedAt, Age: now.Sub(c.At)}
	for d, cleared := range c.Requests {
		if cleared {
			out.Cleared = append(out.Cleared, d)
		} else {
			out.Requests = append(out.Requests, d)
		}
	}
	return out
}

// crash is what the news tell, received at some time.
func (c CrashNews) crash(at time.Time) quarantine.Crash {
	out := quarantine.Crash{Instance: c.Instance, StartedAt: c.Born, At: at.Add(-c.Age), Requests: map[quarantine.Digest]bool{}}
	for _, d := range c.Requests {
		out.Requests[d] = false
	}
	for _, d := range c.Cleared {
		out.Requests[d] = true
	}
	return out
}

// take takes in what another daemon tells, and reports whether anything was new.
func (q *Quarantine) take(news []CrashNews, from models.DaemonID) bool {
	now, added := time.Now(), false
	for _, c := range news {
		added = q.add(c.crash(now), from) || added
	}
	return added
}

// tells says which of what a daemon knows it tells another one.
type tells int

const (
	// tellOwn is what it found itself.
	tellOwn tells = iota
	// tellAll is all but what the other one told.
	tellAll
)

// since is what another daemon is to be told that was learned after a change, and the
// newest change.
func (q *Quarantine) since(seen uint64, to models.DaemonID, which tells) ([]CrashNews, uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	crashes, last := q.list.Since(seen, func(from quarantine.Source) bool {
		return from == "" || (which == tellAll && from != to)
	})
	now := time.Now()
	out := make([]CrashNews, len(crashes))
	for n, c := range crashes {
		out[n] = newsOf(c, now)
	}
	return out, last
}

// tellFound tells what is new of instances that crashed, name a limit or ask for something. Each connection
// begins with all that is known, so that a daemon which starts or was cut off learns it from
// whoever it reaches first; later on daemons that tell each other of themselves need not pass
// on what others told.
func (t *teller) tellFound() error {
	v := t.n.View()
	which := tellOwn
	if !t.toldFound || (!v.mesh() && v.Arranged.IsRelay) {
		which = tellAll
	}
	crashes, lastCrash := t.n.quarantine.since(t.crashes, t.link.id, which)
	limits, lastLimit := t.n.limits.since(t.limits, t.link.id, which)
	signals, lastSignal := t.n.breakers.since(t.signals, func(from models.DaemonID) bool {
		return from == "" || (which == tellAll && from != t.link.id)
	})
	t.crashes, t.limits, t.signals, t.toldFound = lastCrash, lastLimit, lastSignal, true
	var news []News
	if len(crashes) > 0 {
		news = append(news, News{Crashes: crashes})
	}
	if len(limits) > 0 {
		news = append(news, News{Limits: limits})
	}
	if len(signals) > 0 {
		news = append(news, News{Signals: signals})
	}
	for _, n := range news {
		if err := t.send(frameNews, n); err != nil {
			return err
		}
	}
	return nil
}

// takeCrashes takes in what another daemon tells, and has those told who rely on this one.
func (n *Node) takeCrashes(news []CrashNews, from models.DaemonID) {
	if len(news) > 0 && n.quarantine.take(news, from) {
		n.links.wakeAll()
	}
}

// Quarantine holds the requests that crash instances.
func (n *Node) Quarantine() *Quarantine { return n.quarantine }
