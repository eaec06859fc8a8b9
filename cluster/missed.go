package cluster

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// A daemon that missed news of the planner, or has heard none yet, asks the relay
// that it relies on, which tells all that it knows of instances.

// anyRelay stands for the relay that a daemon which starts will find.
const anyRelay models.DaemonID = "*"

// noteMissed has what was not told read from the store at once, or told by the
// relay that this daemon relies on.
func (o *owner) noteMissed(now time.Time) {
	o.n.stats.missed.Inc()
	relay := o.relayToAsk(now)
	o.n.log.Info().Int64("term", o.peers.feedTerm).Int64("feed", o.peers.feed).Str("relay", string(relay)).
		Dur("entries-age", o.n.entriesAge()).Msg("news-missed")
	o.n.fedByPlanner.Store(0)
	o.n.missed.note()
	o.n.asked.Store(&relay)
	if relay != "" {
		o.n.links.beat(relay)
	}
}

// relayToAsk is the relay to be asked for what was missed: the first of those that know
// what was written of late themselves, none if no relay does or this daemon is one. A
// relay that the store turned away, and was asked, had those who rely on it send to a
// leaving instance for 3 s.
func (o *owner) relayToAsk(now time.Time) models.DaemonID {
	if !o.n.relies() {
		return ""
	}
	a := o.peers.arranged
	if !o.isBehind(a.LoadRelay, now) {
		return a.LoadRelay
	}
	for id, link := range a.Links {
		if link.UsesRelay && !o.isBehind(id, now) {
			return id
		}
	}
	return ""
}

// isBehind reports whether a relay tells that it does not know what was written of late.
func (o *owner) isBehind(id models.DaemonID, now time.Time) bool {
	relay, heard := o.peers.seen[id]
	return heard && relay.beat.EntriesAge > 0 && relay.beat.EntriesAge+now.Sub(relay.at) > feedPatience
}

// askUnfed has a daemon that leaves reading the store to its relay, and does not know
// what was written of late, ask it what it knows: relays read the store meanwhile. 285
// daemons that each read it for themselves, once a planner was cut off and once more
// when one was killed, made 730 of 2,420 calls within 27 s.
func (o *owner) askUnfed(now time.Time) {
	if o.n.relies() && o.n.missed.pending() {
		o.askOther(now)
		return
	}
	if o.n.relies() && !o.n.fedWithin(feedPatience) && o.n.entriesAge() >= feedPatience {
		o.noteMissed(now)
	}
}

// askOther asks another relay if the one that was asked is silent or behind by now.
func (o *owner) askOther(now time.Time) {
	relay := o.relayToAsk(now)
	if relay == *o.n.asked.Load() {
		return
	}
	o.n.asked.Store(&relay)
	if relay != "" {
		o.n.links.beat(relay)
	}
}

// handleWhole takes in what a relay knows of all instances. That makes good for
// what was missed if the relay had heard it, and knows what was written of late.
func (o *owner) handleWhole(m newsSeen) {
	p, now := &o.peers, time.Now()
	o.dropUntold(m)
	o.noteAll(m, now)
	if m.entries != nil {
		o.fleet.entries.reach(m.entries.End, m.at.Add(-m.entries.Age))
		o.showEntriesAge()
	}
	o.n.log.Info().Int64("term", m.term).Int64("feed", m.feed).Int("instances", len(m.instances)).
		Dur("entries-age", o.n.entriesAge()).Msg("told-by-relay")
	switch {
	case m.term != p.feedTerm:
		p.term, p.feedTerm, p.feed, p.planned = m.term, m.term, m.feed, now
	case m.feed < p.missedTo:
		return
	}
	p.feed = max(p.feed, m.feed)
	entries := &o.fleet.entries
	if m.entries == nil || entries.ahead != nil || entries.end.Era < o.n.era.Load() || now.Sub(entries.at) > feedPatience {
		return
	}
	o.noteKnownAnew(now)
	o.n.missed.makeGood(o.n.missed.noted.Load())
	o.n.fedByPlanner.Store(entries.at.UnixNano())
}

// dropUntold drops the instances that a relay does not list, unless something newer is
// known of them.
func (o *owner) dropUntold(m newsSeen) {
	listed := make(map[models.InstanceID]bool, len(m.instances))
	for _, news := range m.instances {
		listed[news.Instance.ID] = true
	}
	for id, k := range o.fleet.instances {
		if !listed[id] && k.outdatedBy(m) {
			o.dropInstance(id)
		}
	}
}

// outdatedBy reports whether a relay knows at least as much of the store's records as who
// told of the instance last. An older program does not say.
func (k *knownInstance) outdatedBy(m newsSeen) bool {
	if m.entries == nil {
		return k.told.Before(m.at.Add(-entryLag))
	}
	return k.listed.Compare(m.entries.End) <= 0
}

// answerMissed tells those who rely on this daemon and missed news what it knows.
func (o *owner) answerMissed(now time.Time) {
	for id, p := range o.peers.seen {
		if p.beat.Missed && !p.answered && o.tellWhole(id, now) {
			p.answered = true
			o.peers.seen[id] = p
		}
	}
}

// tellWhole tells all that this daemon knows of instances to one that relies on
// it and missed news. It does not if it missed some itself and has not read the store
// since, or does not know what was written of late: who asks would take itself for
// complete, and go on sending to instances that leave. It reports whether it did.
func (o *owner) tellWhole(to models.DaemonID, now time.Time) bool {
	if now.Sub(o.fleet.entries.at) > feedFresh || o.fleet.entries.end.Era < o.n.era.Load() {
		return false
	}
	term, feed := o.peers.feedTerm, o.peers.feed
	if o.fleet.planner != nil {
		term, feed = o.fleet.heldTerm, o.fleet.feed
	} else if o.n.missed.pending() {
		return false
	}
	w := &o.peers.whole
	if w.term != term || w.feed != feed || now.Sub(w.at) > wholeFresh {
		// By the time that it is sent last it is older by wholeFresh.
		entries := o.fleet.entries.told(models.Position{}, now.Add(wholeFresh))
		news := News{From: o.n.cfg.ID, Term: term, Feed: feed, Whole: true, Entries: entries}
		for _, k := range o.fleet.instances {
			if !k.unlisted {
				news.Instances = append(news.Instances, k.news(k.knownAt()))
			}
		}
		f, ok := o.n.links.encode(frameNews, news)
		if !ok {
			return false
		}
		*w = wholeNews{term: term, feed: feed, at: now, frame: f}
	}
	told := o.n.links.tell(to, w.frame)
	o.n.log.Info().Str("peer", string(to)).Int64("term", term).Int64("feed", feed).Dur("entries-age", o.n.entriesAge()).
		Bool("sent", told).Msg("told-all")
	return told
}

// knownAt is when what is known of the instance was so.
func (k *knownInstance) knownAt() time.Time {
	if k.told.IsZero() {
		return k.written
	}
	return k.told
}

// wholeFresh is for how long what is known of all instances is told as it was
// encoded once: where all daemons start at the same moment, 58 ask a relay
// within some ms, and to encode 766 instances takes one of a fifth of a core a
// tenth of a second.
const wholeFresh = 100 * time.Millisecond

// wholeNews are news of all instances, ready to be sent, as of the planner's news
// with a number.
type wholeNews struct {
	term, feed int64
	at         time.Time
	frame      sharedFrame
}
