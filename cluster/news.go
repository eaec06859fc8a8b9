package cluster

import (
	"time"

	"github.com/lupinkeel/lupinkeel/lib/frame"
	"github.com/lupinkeel/lupinkeel/models"
)

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
	o.fleet.feed++
	o.fleet.fedOthers = time.Now()
	o.n.links.send(News{From: o.n.cfg.ID, Term: o.fleet.heldTerm, Feed: o.fleet.feed, Instances: o.fleet.news})
	o.fleet.news = nil
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
	if missed {
		p.missedTo = m.feed - 1
		o.noteMissed(now)
		return
	}
	o.n.fedByPlanner.Store(now.UnixNano())
}

// noteAll takes in what news tell of instances.
func (o *owner) noteAll(m newsSeen, now time.Time) {
	for _, news := range m.instances {
		o.noteNews(news, m.at.Add(-news.Age), now)
	}
	o.fleetStale = o.fleetStale || len(m.instances) > 0
}

// noteMissed has what was not told read from the store at once, or told by the
// relay that this daemon relies on.
func (o *owner) noteMissed(now time.Time) {
	o.n.stats.missed.Inc()
	o.n.fedByPlanner.Store(0)
	o.n.missedNews.Store(true)
	if o.n.relies() {
		o.n.askedRelay.Store(now.UnixNano())
		o.n.links.beat(o.peers.arranged.First)
	}
}

// handleWhole takes in what a relay knows of all instances. That makes good for
// what was missed if the relay had heard it.
func (o *owner) handleWhole(m newsSeen) {
	p, now := &o.peers, time.Now()
	listed := make(map[models.InstanceID]bool, len(m.instances))
	for _, news := range m.instances {
		listed[news.Instance.ID] = true
	}
	for id, k := range o.fleet.instances {
		if !listed[id] && k.told.Before(m.at.Add(-entryLag)) {
			o.dropInstance(id)
		}
	}
	o.noteAll(m, now)
	switch {
	case m.term != p.feedTerm:
		p.term, p.feedTerm, p.feed, p.planned = m.term, m.term, m.feed, now
	case m.feed < p.missedTo:
		return
	}
	p.feed = max(p.feed, m.feed)
	o.n.missedNews.Store(false)
	o.n.fedByPlanner.Store(now.UnixNano())
	o.n.log.Debug().Int64("term", m.term).Int64("feed", m.feed).Int("instances", len(m.instances)).Msg("told-by-relay")
}

// answerMissed tells those who rely on this daemon and missed news what it knows.
func (o *owner) answerMissed(now time.Time) {
	for id, p := range o.peers.seen {
		if p.beat.Missed && p.beat.RelaysFirst && !p.answered && o.tellWhole(id, now) {
			p.answered = true
			o.peers.seen[id] = p
		}
	}
}

// tellWhole tells all that this daemon knows of instances to one that relies on
// it and missed news, unless it missed some itself. It reports whether it did.
func (o *owner) tellWhole(to models.DaemonID, now time.Time) bool {
	term, feed := o.peers.feedTerm, o.peers.feed
	if o.fleet.planner != nil {
		term, feed = o.fleet.heldTerm, o.fleet.feed
	} else if !o.n.fedLately() {
		return false
	}
	w := &o.peers.whole
	if w.term != term || w.feed != feed || now.Sub(w.at) > wholeFresh {
		news := News{From: o.n.cfg.ID, Term: term, Feed: feed, Whole: true}
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
	return o.n.links.tell(to, w.frame)
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
	frame      frame.Frame
}

// noteNews takes in what the daemon that plans tells of one instance, as it was
// at a time.
func (o *owner) noteNews(news InstanceNews, at, now time.Time) {
	id := news.Instance.ID
	k, known := o.fleet.instances[id]
	switch {
	case news.Gone:
		if known && at.After(k.written) {
			o.dropInstance(id)
		}
	case !known:
		// No entry of it was seen: word that it is gone holds, whenever it was read.
		k = &knownInstance{UpstreamInstance: news.Instance, told: at}
		if news.Lost {
			k.lost = now
		}
		o.fleet.instances[id], o.fleet.listed = k, true
	case at.Before(k.told):
	default:
		draining := k.Draining || news.Instance.Draining
		k.takeIn(news.Instance)
		k.Draining, k.told = draining, at
		k.lost = time.Time{}
		delete(o.fleet.suspects, id)
		if news.Lost {
			k.lost = now
		}
	}
}

// fedLately reports whether the planner's news came of late and without a gap.
func (n *Node) fedLately() bool { return n.fedWithin(feedFresh) }

func (n *Node) fedWithin(d time.Duration) bool {
	return time.Since(time.Unix(0, n.fedByPlanner.Load())) < d
}
