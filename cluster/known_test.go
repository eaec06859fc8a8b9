package cluster

import (
	"bufio"
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/breaker"
	"github.com/lupinkeel/lupinkeel/lib/frame"
	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

// TestKnownEntries runs the scripts of testdata/known: what daemons know of a store's
// entries of instances, by reading, by the planner's news, and by a relay's answer.
//
// In relay_cut_off, requests reached an instance 3.08 s after it said that it leaves,
// all of them from daemons of one zone that had not read the store themselves. Their
// relay had planned until 2.5 s before, when the store turned it away. It had missed
// news of its successor, could not read the store, and took the next two news, which
// followed one another, for the word that it knows everything: at 21.0 s it showed
// lupinkeel_planner_news_age_seconds 0.016, though its last reading was of 17.5 s. So it
// answered all who asked it, and these took themselves for complete in turn.
//
// In reports_alone the first 0.4 s of these 3 s went by because nobody read: the planner
// could not, and what engines answered it went out as news.
//
//	daemons NAME...           these hear each other's news
//	put ID ready|leaving      an instance writes its entry
//	gone ID                   its entry goes
//	copy, restore             the store is copied, and comes back from the copy
//	read DAEMON               it reads what is new in the store, or all in a new era
//	reread DAEMON N           a reading up to the record N comes late
//	plan DAEMON TERM          it plans from now on
//	stop DAEMON               it plans no more
//	feed DAEMON               it tells the news that there are, as after a reading
//	report DAEMON ID          an instance answers the planner, which tells that
//	ask DAEMON RELAY          it asks the relay for all that it knows
//	lose DAEMON               the next news do not reach it
//	hold DAEMON               news reach it only from its release on
//	release DAEMON
//	wait DURATION
//	says DAEMON ID            an answer of the instance tells the daemon that it leaves
//	tell DAEMON OTHER         it tells another one what instances said in answers
//	beat DAEMON OTHER         it tells another one of itself
//	tick DAEMON               it looks for what is due
//	known DAEMON ID BOOL      checks whether it knows the instance
//	usable DAEMON ID BOOL     checks whether requests may go to the instance
//	complete DAEMON BOOL      checks whether it knows all entries as of late
func TestKnownEntries(t *testing.T) {
	files, err := filepath.Glob("testdata/known/*.txt")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runKnownScript(t, file) })
		})
	}
}

func runKnownScript(t *testing.T, file string) {
	c := qt.New(t)
	f, err := os.Open(file)
	c.Assert(err, qt.IsNil)
	defer f.Close()
	s := newKnownScript(c, t)
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		line, _, _ := strings.Cut(lines.Text(), "#")
		if words := strings.Fields(line); len(words) > 0 {
			s.comment = qt.Commentf("%s:%d: %s", filepath.Base(file), n, line)
			s.do(words)
			s.deliver()
			time.Sleep(time.Millisecond)
		}
	}
	c.Assert(lines.Err(), qt.IsNil)
}

type knownScript struct {
	c       *qt.C
	t       *testing.T
	comment qt.Comment
	owners  map[models.DaemonID]*owner
	// log is the store's topic of entries in an era, saved a copy of it, read how much of
	// it each daemon has read.
	log, saved []platform.KeyedRecord
	// wrote is when each record of the log was written.
	wrote []time.Time
	era   int64
	read  map[models.DaemonID]models.Position
	lost  map[models.DaemonID]bool
	held  map[models.DaemonID][]sharedFrame
	// writes counts the writes of each instance.
	writes map[string]int
}

func newKnownScript(c *qt.C, t *testing.T) *knownScript {
	return &knownScript{
		c: c, t: t, owners: map[models.DaemonID]*owner{}, read: map[models.DaemonID]models.Position{},
		lost: map[models.DaemonID]bool{}, held: map[models.DaemonID][]sharedFrame{}, writes: map[string]int{},
	}
}

func (s *knownScript) do(words []string) {
	verb, words := words[0], append(words[1:], "")
	name := models.DaemonID(words[0])
	o, now := s.owners[name], time.Now()
	switch verb {
	case "daemons":
		s.start(words[:len(words)-1])
	case "put", "gone", "copy", "restore":
		s.write(verb, words)
	case "read":
		s.readNew(o)
	case "reread":
		if s.read[name].Era != s.era {
			// The first reading in an era is of everything.
			s.readNew(o)
			return
		}
		var end int
		s.scan(words[1], &end)
		asked := time.Now()
		if end < len(s.log) {
			asked = s.wrote[end]
		}
		s.handle(o, s.log[:end], s.position(end), asked, false)
	case "plan":
		var term int64
		s.scan(words[1], &term)
		o.handleLease(leaseHeld{term: term, until: now.Add(time.Minute)})
	case "stop":
		o.stopPlanning("test")
	case "feed":
		o.sendFeed()
	case "report":
		k := o.fleet.instances[models.InstanceID(words[1])]
		o.tellOthers(k, now)
		o.sendFeed()
	case "ask":
		o.noteMissed(now)
		s.owners[models.DaemonID(words[1])].tellWhole(name, now)
	case "beat":
		to := s.owners[models.DaemonID(words[1])]
		to.handleHeartbeat(heartbeatSeen{beat: o.n.heartbeat("", membership.Link{}), at: now})
	case "says", "tell":
		s.hearWords(verb, o, words[1])
	case "tick":
		o.dropMissing(now)
		o.noteSaidLeaving(now)
	case "lose":
		s.lost[name] = true
	case "hold":
		s.held[name] = []sharedFrame{}
	case "release":
		s.release(name)
	case "wait":
		d, err := time.ParseDuration(words[0])
		s.c.Assert(err, qt.IsNil, s.comment)
		time.Sleep(d)
	case "known":
		_, known := o.fleet.instances[models.InstanceID(words[1])]
		s.c.Assert(fmt.Sprint(known), qt.Equals, words[2], s.comment)
	case "usable":
		k := o.fleet.instances[models.InstanceID(words[1])]
		s.c.Assert(fmt.Sprint(k != nil && k.usable()), qt.Equals, words[2], s.comment)
	case "complete":
		s.c.Assert(fmt.Sprint(o.n.fedWithin(feedPatience) && !o.n.missed.pending()), qt.Equals, words[1], s.comment)
	default:
		s.c.Fatalf("%s: no such command", s.comment)
	}
}

// release hands a daemon the news that were held back from it.
func (s *knownScript) release(name models.DaemonID) {
	held := s.held[name]
	delete(s.held, name)
	for _, f := range held {
		s.hand(name, f)
	}
}

// hearWords has a daemon hear that an instance says it leaves, or tell another daemon.
func (s *knownScript) hearWords(verb string, o *owner, of string) {
	if verb == "says" {
		o.n.breakers.Heard(breaker.Signal{Instance: models.InstanceID(of), ReceivedAt: time.Now(), Leaving: true})
		o.handleWaiting()
		return
	}
	to := s.owners[models.DaemonID(of)]
	news, _ := o.n.breakers.since(0, func(models.DaemonID) bool { return true })
	to.n.takeSignals(news, o.n.cfg.ID)
	to.handleWaiting()
}

func (s *knownScript) scan(text string, out any) {
	_, err := fmt.Sscan(text, out)
	s.c.Assert(err, qt.IsNil, s.comment)
}

// start makes daemons that hear of each other all that is sent.
func (s *knownScript) start(names []string) {
	for _, name := range names {
		o := newTestOwner(s.t)
		o.n.cfg.ID = models.DaemonID(name)
		o.config.routing = &models.Routing{}
		for _, other := range names {
			if other != name {
				o.n.links.known[models.DaemonID(other)] = &linkEnd{frames: make(chan sharedFrame, newsLen)}
			}
		}
		s.owners[o.n.cfg.ID] = o
	}
}

// deliver hands over what was sent.
func (s *knownScript) deliver() {
	for _, from := range s.owners {
		for to, end := range from.n.links.known {
			for len(end.frames) > 0 {
				s.hand(to, <-end.frames)
			}
		}
	}
}

func (s *knownScript) hand(to models.DaemonID, f sharedFrame) {
	kind, body, err := frame.Read(bytes.NewReader(f.plain.Bytes))
	s.c.Assert(err, qt.IsNil)
	if held, late := s.held[to]; late {
		s.held[to] = append(held, f)
		return
	}
	if s.lost[to] {
		s.lost[to] = false
		return
	}
	o := s.owners[to]
	_, err = (&peerServer{n: o.n}).take(o.ctx, kind, body, Heartbeat{})
	s.c.Assert(err, qt.IsNil)
	o.handleWaiting()
}

// write changes what the store holds.
func (s *knownScript) write(verb string, words []string) {
	switch verb {
	case "put":
		s.put(words[0], words[1])
	case "gone":
		s.append(words[0], nil)
	case "copy":
		s.saved = slices.Clone(s.log)
	case "restore":
		s.log, s.era = slices.Clone(s.saved), s.era+1
		s.wrote = s.wrote[:len(s.log)]
	}
}

// put has an instance write its entry.
func (s *knownScript) put(id, state string) {
	s.writes[id]++
	word := map[string]string{"ready": "ready", "leaving": "draining"}[state]
	value := fmt.Sprintf(`{"Service":"plain","Address":"10.0.0.1:80","Zone":"z","Slots":4,"State":%q,"Sequence":%d}`, word, s.writes[id])
	s.append(id, []byte(value))
}

func (s *knownScript) append(id string, value []byte) {
	s.log = append(s.log, platform.KeyedRecord{Key: id, Value: value, Position: s.position(len(s.log))})
	s.wrote = append(s.wrote, time.Now())
}

func (s *knownScript) position(offset int) models.Position {
	return models.Position{Era: s.era, Offset: int64(offset)}
}

// readNew has a daemon read what it has not read in this era: the newest record of each
// key if it has read nothing.
func (s *knownScript) readNew(o *owner) {
	from, end := s.read[o.n.cfg.ID], s.position(len(s.log))
	s.read[o.n.cfg.ID] = end
	if from.Era == s.era {
		s.handle(o, s.log[from.Offset:], end, time.Now(), false)
		return
	}
	newest := map[string]platform.KeyedRecord{}
	for at, r := range s.log {
		r.Position = s.position(at)
		newest[r.Key] = r
	}
	maps.DeleteFunc(newest, func(_ string, r platform.KeyedRecord) bool { return r.Value == nil })
	s.handle(o, slices.Collect(maps.Values(newest)), end, time.Now(), true)
}

// handle has a daemon take in records of the store.
func (s *knownScript) handle(o *owner, records []platform.KeyedRecord, end models.Position, asked time.Time, whole bool) {
	o.handleInstances(reading{records: records, end: end, asked: asked}, whole)
	o.n.missed.makeGood(o.n.missed.noted.Load())
}
