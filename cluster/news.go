package cluster

import "time"

// entryLag is how long an instance's entry may lag behind what the instance
// itself tells: the store takes some ms, a slow store hundreds.
const entryLag = time.Second

const (
	// feedFresh is how recent the planner's news must be for a daemon to spare
	// itself reading entries often.
	feedFresh = 900 * time.Millisecond
	// feedPatience takes its place where there are many daemons: until another
	// plans none should read that need not. It stays well below the time within
	// which an instance that leaves must get nothing new, 3 s where the users
	// have many daemons.
	feedPatience = 1600 * time.Millisecond
	// newsEvery is the least time between two sendings of news. Reports come by
	// the dozen within some ms; sent one by one they overflow what may wait for
	// a link, and every daemon that misses one reads the store.
	newsEvery = 15 * time.Millisecond
)

// spread tells all other daemons what this one, which plans, has learned.
func (o *owner) spread(news ...InstanceNews) {
	if o.fleet.planner == nil {
		return
	}
	o.fleet.news = append(o.fleet.news, news...)
}

// flushNews sends what spread has gathered, unless some was sent just before.
func (o *owner) flushNews(now time.Time) {
	if len(o.fleet.news) == 0 || now.Sub(o.fleet.fedOthers) < newsEvery {
		return
	}
	o.sendFeed()
}

// sendFeed sends the news that there are. Without any it tells the others that
// this daemon still reads entries, so that they need not.
func (o *owner) sendFeed() {
	f, now := &o.fleet, time.Now()
	f.feed++
	f.fedOthers = now
	o.n.links.send(News{
		From: o.n.cfg.ID, Term: f.heldTerm, Feed: f.feed, Instances: f.news,
		Entries: f.entries.told(f.toldTo, now),
	})
	f.news, f.toldTo = nil, f.entries.end
}

// handleNews takes in what the daemon that plans tells.
func (o *owner) handleNews(m newsSeen) {
	p := &o.peers
	switch {
	case m.term < p.term || o.fleet.planner != nil:
		return
	case m.ended:
		p.term, p.planned = m.term, m.at.Add(-strongSilence)
		o.n.fedByPlanner.Store(0)
		return
	case m.whole:
		o.handleWhole(m)
		return
	case m.term == p.feedTerm && m.feed <= p.feed:
		// Another relay told it before.
		return
	}
	missed := m.term != p.feedTerm || m.feed != p.feed+1
	p.term, p.feedTerm, p.feed = m.term, m.term, m.feed
	now := time.Now()
	p.planned = now
	o.noteAll(m, now)
	// News that do not tell which records they hold, as an older program's, do not spare
	// this daemon a reading.
	joined := m.entries != nil && o.fleet.entries.join(m.entries.records(m.at))
	o.showEntriesAge()
	if missed {
		p.missedTo = m.feed - 1
	}
	switch {
	case missed, m.entries != nil && !joined && !o.n.missed.pending():
		o.noteMissed(now)
	case joined && !o.n.missed.pending():
		o.n.fedByPlanner.Store(m.at.Add(-m.entries.Age).UnixNano())
	}
}

// noteAll takes in what news tell of instances.
func (o *owner) noteAll(m newsSeen, now time.Time) {
	if m.olderThan(o.fleet.entries) {
		m.instances = o.fleet.stillKnown(m.instances, now)
	}
	for _, news := range m.instances {
		if news.Gone {
			o.noteGone(news, m, now)
			continue
		}
		o.noteNews(news, m.at.Add(-news.Age), now)
		if m.entries != nil {
			o.fleet.noteListed(news.Instance.ID, m.entries.End, news.missingSince(now))
		}
	}
	o.fleetStale = o.fleetStale || len(m.instances) > 0
}

// noteNews takes in what the daemon that plans tells of one instance, as it was
// at a time.
func (o *owner) noteNews(news InstanceNews, at, now time.Time) {
	id := news.Instance.ID
	k, known := o.fleet.instances[id]
	switch {
	case !known && o.fleet.hasEnded(news.Instance):
	case !known:
		// No entry of it was seen: word that it is gone holds, whenever it was read.
		k = &knownInstance{UpstreamInstance: news.Instance, told: at, bornKnown: at}
		if news.Lost {
			k.lost = now
		}
		o.fleet.instances[id], o.fleet.listed = k, true
	case !o.noteLife(k, news.Instance.StartedAt, at):
	case at.Before(k.told):
		// Something newer is known of its group. That it leaves is told by its entry, which
		// may be newer all the same.
		o.noteLeaving(k, news.Instance.Draining, now.Sub(at))
	default:
		o.noteLeaving(k, news.Instance.Draining, now.Sub(at))
		draining := k.Draining
		k.takeIn(news.Instance)
		k.Draining, k.told = draining, at
		k.lost = time.Time{}
		delete(o.fleet.suspects, id)
		if news.Lost {
			k.lost = now
		}
	}
}

// noteGone takes in that an instance's entry went, unless it was written again since.
func (o *owner) noteGone(news InstanceNews, m newsSeen, now time.Time) {
	id := news.Instance.ID
	k, known := o.fleet.instances[id]
	switch {
	case !known:
	case m.entries != nil && k.listed.Compare(m.entries.End) <= 0, m.entries == nil && m.at.Add(-news.Age).After(k.written):
		o.dropInstance(id)
	}
	if _, kept := o.fleet.instances[id]; !kept && news.Instance.HeartbeatSeq > 0 {
		o.fleet.noteEnded(news.Instance, now)
	}
}

// missingSince is since when the store lacks the instance's entry.
func (news InstanceNews) missingSince(now time.Time) time.Time {
	if news.Missing == 0 {
		return time.Time{}
	}
	return now.Add(-news.Missing)
}

// noteLeaving takes in whether others know that an instance leaves. Who does, does not
// come back in this life.
func (o *owner) noteLeaving(k *knownInstance, leaving bool, age time.Duration) {
	if k.Draining || !leaving {
		return
	}
	o.n.log.Info().Str("instance", string(k.ID)).Dur("age", age).Msg("instance-leaving")
	k.Draining = true
	o.fleet.listed = true
}

// fedLately reports whether all instances were told as of late, and none missed since.
func (n *Node) fedLately() bool { return n.fedWithin(feedFresh) }

func (n *Node) fedWithin(d time.Duration) bool {
	return time.Since(time.Unix(0, n.fedByPlanner.Load())) < d
}
