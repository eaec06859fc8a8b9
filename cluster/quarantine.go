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

// Quarantine holds the crashes of instances that any daemon found, with the requests in flight on
// them and the parts of their prompts. It is safe for concurrent use.
type Quarantine struct {
	log zerolog.Logger
	// nonEmpty is set if any crash is known.
	nonEmpty atomic.Bool
	// onChange is called when there is a change to send to other daemons.
	onChange func()
	// writeQueue holds requests whose record in the store is to be rewritten.
	writeQueue chan quarantine.Digest

	mu   sync.Mutex
	list quarantine.List
	// quarantined are the requests that must not be sent, as last logged.
	quarantined map[quarantine.Digest]quarantine.Status
}

// NewQuarantine returns an empty quarantine. found is called when there is a change to send to
// other daemons.
func NewQuarantine(found func(), set *metrics.Set, log zerolog.Logger) *Quarantine {
	q := &Quarantine{
		log: log, onChange: found, writeQueue: make(chan quarantine.Digest, writeQueueLen), quarantined: map[quarantine.Digest]quarantine.Status{},
	}
	set.NewGauge("lupinkeel_quarantined_requests", func() float64 {
		q.mu.Lock()
		defer q.mu.Unlock()
		return float64(len(q.quarantined))
	})
	return q
}

// RecordCrash records that an instance crashed with requests of this daemon in flight.
func (q *Quarantine) RecordCrash(c quarantine.Crash) {
	if q.record(c, "") {
		q.onChange()
	}
}

// record adds a crash and reports whether it changed anything.
func (q *Quarantine) record(c quarantine.Crash, from quarantine.Source) bool {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	added := q.list.Add(c, from, now)
	q.refresh(now)
	return added
}

// Clear clears a request of suspicion because an instance answered it.
func (q *Quarantine) Clear(d quarantine.Digest) {
	now := time.Now()
	q.mu.Lock()
	cleared := q.list.Clear(d, now)
	q.refresh(now)
	q.mu.Unlock()
	if cleared {
		q.onChange()
	}
}

// Status returns how far a request is suspected of crashing instances.
func (q *Quarantine) Status(d quarantine.Digest) quarantine.Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.Status(d)
}

// MarkSound records that an instance answered a request with these parts and did not crash.
func (q *Quarantine) MarkSound(parts []quarantine.Digest) {
	now, cleared := time.Now(), false
	q.mu.Lock()
	for _, d := range parts {
		cleared = q.list.MarkSound(d, now) || cleared
	}
	if cleared {
		q.refresh(now)
	}
	q.mu.Unlock()
	if cleared {
		q.onChange()
	}
}

// Blocks returns a part because of which a prompt with these parts must not be sent, and whether
// there is one.
func (q *Quarantine) Blocks(parts []quarantine.Digest) (quarantine.Digest, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.Blocks(parts)
}

// HasCrashed reports whether this incarnation of an instance is known to have crashed.
func (q *Quarantine) HasCrashed(i models.UpstreamInstance) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.HasCrashed(i)
}

// Quarantined returns the requests that must not be sent.
func (q *Quarantine) Quarantined() map[quarantine.Digest]quarantine.Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.quarantined)
}

// IsolationIndex returns to which of n groups or instances an isolated request is sent.
func (q *Quarantine) IsolationIndex(d quarantine.Digest, n int) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.IsolationIndex(d, n)
}

// Any reports whether any crash is known. If not, requests need no digest.
func (q *Quarantine) Any() bool { return q.nonEmpty.Load() }

// Prune drops expired crashes.
func (q *Quarantine) Prune() {
	if !q.Any() {
		return
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list.Prune(now)
	q.refresh(now)
}

// refresh logs which requests are newly quarantined or released, and queues the rewrite of their
// records if this daemon found any of the crashes. The caller must hold the lock.
func (q *Quarantine) refresh(now time.Time) {
	q.nonEmpty.Store(!q.list.Empty())
	quarantined := q.list.Quarantined()
	for d, s := range quarantined {
		if _, before := q.quarantined[d]; !before {
			q.log.Warn().Stringer("digest", d).Bool("part", d.IsPart()).Int("crashes", s.Crashes).Dur("age", now.Sub(s.Last)).Msg("request-quarantined")
			q.enqueueOwnWrite(d)
		}
	}
	for d := range q.quarantined {
		if _, still := quarantined[d]; !still {
			q.log.Info().Stringer("digest", d).Msg("request-released")
			q.enqueueOwnWrite(d)
		}
	}
	q.quarantined = quarantined
}

// CrashUpdate is a crash of an instance as daemons send it to each other.
type CrashUpdate struct {
	Instance  models.InstanceID `msgpack:"i"`
	StartedAt time.Time         `msgpack:"b,omitempty"`
	// Age is the time since the crash.
	Age time.Duration `msgpack:"a"`
	// Requests are the requests that were in flight, Cleared those of them that another instance
	// answered.
	Requests []quarantine.Digest `msgpack:"r,omitempty"`
	Cleared  []quarantine.Digest `msgpack:"c,omitempty"`
}

// crashUpdateOf converts a crash for sending.
func crashUpdateOf(c quarantine.Crash, now time.Time) CrashUpdate {
	out := CrashUpdate{Instance: c.Instance, StartedAt: c.StartedAt, Age: now.Sub(c.At)}
	for d, cleared := range c.Requests {
		if cleared {
			out.Cleared = append(out.Cleared, d)
		} else {
			out.Requests = append(out.Requests, d)
		}
	}
	return out
}

// toCrash converts an update received at a time.
func (c CrashUpdate) toCrash(at time.Time) quarantine.Crash {
	out := quarantine.Crash{Instance: c.Instance, StartedAt: c.StartedAt, At: at.Add(-c.Age), Requests: map[quarantine.Digest]bool{}}
	for _, d := range c.Requests {
		out.Requests[d] = false
	}
	for _, d := range c.Cleared {
		out.Requests[d] = true
	}
	return out
}

// merge adds crashes from another daemon, and reports whether any was new.
func (q *Quarantine) merge(updates []CrashUpdate, from models.DaemonID) bool {
	now, added := time.Now(), false
	for _, c := range updates {
		added = q.record(c.toCrash(now), from) || added
	}
	return added
}

// findingScope selects the crashes, limits and signals that are sent to a peer.
type findingScope int

const (
	// ownFindings are those that this daemon found itself.
	ownFindings findingScope = iota
	// allFindings are all except those received from the peer.
	allFindings
)

// changesSince returns the crashes in scope that are newer than a change number, and the newest
// change number.
func (q *Quarantine) changesSince(seen uint64, to models.DaemonID, scope findingScope) ([]CrashUpdate, uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	crashes, last := q.list.Since(seen, func(from quarantine.Source) bool {
		return from == "" || (scope == allFindings && from != to)
	})
	now := time.Now()
	out := make([]CrashUpdate, len(crashes))
	for n, c := range crashes {
		out[n] = crashUpdateOf(c, now)
	}
	return out, last
}

// sendFindings sends new crashes, rate limits and signals. Each connection begins with all that are
// known, so that a daemon that has started or was cut off gets them from the first peer that it
// reaches. After that, daemons in a mesh need not forward each other's findings.
func (t *linkWriter) sendFindings() error {
	v, clock := t.n.View(), t.n.echoes.own.Read(time.Now())
	scope := ownFindings
	if !t.sentAllFindings || (!v.mesh() && v.Topology.IsRelay) {
		scope = allFindings
	}
	crashes, lastCrash := t.n.quarantine.changesSince(t.sentCrashes, t.link.id, scope)
	limits, lastLimit := t.n.limits.changesSince(t.sentLimits, t.link.id, scope)
	signals, lastSignal := t.n.breakers.changesSince(t.sentSignals, func(from models.DaemonID) bool {
		return from == "" || (scope == allFindings && from != t.link.id)
	})
	t.sentCrashes, t.sentLimits, t.sentSignals, t.sentAllFindings = lastCrash, lastLimit, lastSignal, true
	var updates []Update
	if len(crashes) > 0 {
		updates = append(updates, Update{Crashes: crashes})
	}
	if len(limits) > 0 {
		updates = append(updates, Update{Clock: clock, Limits: limits})
	}
	if len(signals) > 0 {
		updates = append(updates, Update{Signals: signals})
	}
	for _, n := range updates {
		if err := t.send(frameUpdate, n); err != nil {
			return err
		}
	}
	return nil
}

// handleCrashes adds crashes from another daemon and forwards the new ones.
func (n *Node) handleCrashes(updates []CrashUpdate, from models.DaemonID) {
	if len(updates) > 0 && n.quarantine.merge(updates, from) {
		n.links.notifyAll()
	}
}

// Quarantine returns the quarantine of requests that crash instances.
func (n *Node) Quarantine() *Quarantine { return n.quarantine }
