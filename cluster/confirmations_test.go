package cluster

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/lib/echo"
	"github.com/lupinkeel/lupinkeel/lib/frame"
	"github.com/lupinkeel/lupinkeel/lib/pack"
	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

// TestDelayedMessageConfirmsOldConfig runs the scripts of testdata/confirmations. It guards against
// daemons that accept a revoked key because a message that waited, or that passed several daemons,
// confirms the configuration as of a later time than its first sender could know.
//
//	daemons NAME...       starts daemons that have the same configuration
//	read DAEMON           the daemon reads from the store that its configuration is the newest
//	send DAEMON OTHER     the daemon sends a heartbeat to another one
//	copy DAEMON OTHER     the daemon sends a copy of its configuration
//	receive DAEMON        the daemon reads what was sent to it and handles it
//	take DAEMON           the daemon reads what was sent to it, and handles it later
//	handle DAEMON         the daemon handles what it has read
//	restart DAEMON        the daemon starts again, with its configuration unconfirmed
//	old DAEMON            the daemon runs a version that does not return clock readings
//	wait DURATION
//	age DAEMON MIN [MAX]  checks how long ago the daemon's configuration is known to be the newest
//	unconfirmed DAEMON    checks that it is not known to be the newest at any time
func TestDelayedMessageConfirmsOldConfig(t *testing.T) {
	runScripts(t, "testdata/confirmations", func(c *qt.C, t *testing.T) func([]string, qt.Comment) {
		s := newConfirmationScript(c, t)
		return func(words []string, comment qt.Comment) {
			s.comment = comment
			s.run(words)
		}
	})
}

// confirmationScript connects daemons by queues in place of connections. All have the same clock, so
// that their confirmations can be compared.
type confirmationScript struct {
	c       *qt.C
	t       *testing.T
	comment qt.Comment
	owners  map[models.DaemonID]*owner
	old     map[models.DaemonID]bool
	// sent are the frames that wait for a daemon, taken the messages that it has read.
	sent  map[models.DaemonID][]sentFrame
	taken map[models.DaemonID][]message
	// beganAt is when the script began, readAt when any daemon last read the store.
	beganAt, readAt time.Time
}

type sentFrame struct {
	from models.DaemonID
	kind frame.Kind
	body []byte
}

func newConfirmationScript(c *qt.C, t *testing.T) *confirmationScript {
	return &confirmationScript{
		c: c, t: t, owners: map[models.DaemonID]*owner{}, old: map[models.DaemonID]bool{},
		sent: map[models.DaemonID][]sentFrame{}, taken: map[models.DaemonID][]message{}, beganAt: time.Now(),
	}
}

func (s *confirmationScript) run(words []string) {
	verb, name := words[0], models.DaemonID(words[1])
	o := s.owners[name]
	switch verb {
	case "daemons":
		for _, name := range words[1:] {
			s.start(models.DaemonID(name))
		}
	case "restart":
		s.start(name)
		delete(s.taken, name)
	case "old":
		s.old[name] = true
	case "read":
		s.readAt = time.Now()
		o.applyConfig(nil, s.readAt, "store")
		o.publish()
	case "send":
		s.send(o, models.DaemonID(words[2]))
	case "copy":
		s.copyConfig(o, models.DaemonID(words[2]))
	case "take":
		s.take(name)
	case "receive":
		s.take(name)
		s.handle(name)
	case "handle":
		s.handle(name)
	case "wait":
		time.Sleep(s.duration(words[1]))
	case "age":
		age := time.Since(o.config.confirmedAt)
		s.c.Assert(age >= s.duration(words[2]), qt.IsTrue, qt.Commentf("%s: age %v", s.comment, age))
		if len(words) > 3 {
			s.c.Assert(age <= s.duration(words[3]), qt.IsTrue, qt.Commentf("%s: age %v", s.comment, age))
		}
	case "unconfirmed":
		s.c.Assert(s.isConfirmed(o), qt.IsFalse, s.comment)
	default:
		s.c.Fatalf("%s: no such command", s.comment)
	}
}

// isConfirmed reports whether a daemon's configuration is known to be the newest at any time of the
// script.
func (s *confirmationScript) isConfirmed(o *owner) bool {
	return !o.config.confirmedAt.Before(s.beganAt)
}

func (s *confirmationScript) duration(word string) time.Duration {
	d, err := time.ParseDuration(word)
	s.c.Assert(err, qt.IsNil, s.comment)
	return d
}

// start starts a daemon, or starts it again.
func (s *confirmationScript) start(name models.DaemonID) {
	cfg := Settings{ID: name, InstanceHeartbeat: time.Second, LeaseMin: time.Second, Peer: netip.MustParseAddrPort("127.0.0.1:9")}
	o := newOwner(New(cfg, noTraffic{}, metrics.NewSet(), zerolog.Nop()))
	o.ctx = s.t.Context()
	o.applyConfig([]byte(`{"Version":7}`), time.Time{}, "store")
	o.publish()
	s.owners[name] = o
}

func (s *confirmationScript) send(o *owner, to models.DaemonID) {
	heartbeat := o.n.heartbeat(to, membership.Link{})
	if s.old[o.n.cfg.ID] {
		heartbeat = withoutEcho(heartbeat)
	}
	s.queue(o, to, frameHeartbeat, heartbeat)
}

func (s *confirmationScript) copyConfig(o *owner, to models.DaemonID) {
	s.queue(o, to, frameConfig, o.n.configCopy())
}

func (s *confirmationScript) queue(o *owner, to models.DaemonID, kind frame.Kind, value any) {
	body, err := pack.Marshal(value)
	s.c.Assert(err, qt.IsNil, s.comment)
	s.sent[to] = append(s.sent[to], sentFrame{from: o.n.cfg.ID, kind: kind, body: body})
}

// take makes a daemon read what was sent to it.
func (s *confirmationScript) take(name models.DaemonID) {
	o := s.owners[name]
	server := &peerServer{n: o.n}
	for _, f := range s.sent[name] {
		_, err := server.handleFrame(s.t.Context(), f.kind, f.body, Heartbeat{From: f.from})
		s.c.Assert(err, qt.IsNil, s.comment)
		s.taken[name] = append(s.taken[name], <-o.n.inbox)
	}
	delete(s.sent, name)
}

// handle makes a daemon handle what it has read.
func (s *confirmationScript) handle(name models.DaemonID) {
	o := s.owners[name]
	for _, m := range s.taken[name] {
		o.handle(m)
	}
	delete(s.taken, name)
	o.publish()
}

// confirmationSeeds is the number of random histories in TestConfirmationsNeverTooNew,
// confirmationSteps the length of each.
const (
	confirmationSeeds = 500
	confirmationSteps = 150
)

// TestConfirmationsNeverTooNew generates random histories of four daemons that stop at random moments,
// and checks after each step that none takes its configuration for newer than the last read of the
// store by any of them.
func TestConfirmationsNeverTooNew(t *testing.T) {
	for seed := range uint64(confirmationSeeds) {
		synctest.Test(t, func(t *testing.T) { playConfirmations(t, seed) })
	}
}

func playConfirmations(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 78))
	s := newConfirmationScript(qt.New(t), t)
	names := []string{"a", "b", "c", "d"}
	s.run([]string{"daemons", "a", "b", "c", "d"})
	confirmed := 0
	for step := range confirmationSteps {
		name, other := names[random.IntN(len(names))], names[random.IntN(len(names))]
		var words []string
		switch draw := random.IntN(100); {
		case draw < 3:
			words = []string{"read", name}
		case draw < 40 && name != other:
			words = []string{"send", name, other}
		case draw < 43 && name != other:
			words = []string{"copy", name, other}
		case draw < 60:
			words = []string{"receive", name}
		case draw < 65:
			words = []string{"take", name}
		case draw < 70:
			words = []string{"handle", name}
		case draw < 71:
			words = []string{"restart", name}
		default:
			words = []string{"wait", time.Duration(random.ExpFloat64() * float64(300*time.Millisecond)).String()}
		}
		s.comment = qt.Commentf("seed %d, step %d: %v", seed, step, words)
		s.run(words)
		for id, o := range s.owners {
			if !s.isConfirmed(o) {
				continue
			}
			confirmed++
			late := o.config.confirmedAt.Sub(s.readAt)
			s.c.Assert(late <= 0, qt.IsTrue, qt.Commentf("%s: %s is %v newer than the store was read", s.comment, id, late))
		}
	}
	s.c.Assert(confirmed > 0 || s.readAt.IsZero(), qt.IsTrue, qt.Commentf("seed %d: nothing was confirmed", seed))
}

// TestConfirmationCost checks how many bytes a heartbeat takes to date what it confirms. Heartbeats
// are most of the traffic among many daemons.
func TestConfirmationCost(t *testing.T) {
	c := qt.New(t)
	s := newConfirmationScript(c, t)
	s.run([]string{"daemons", "a", "b"})
	s.run([]string{"send", "a", "b"})
	s.run([]string{"receive", "b"})
	heartbeat := s.owners["b"].n.heartbeat("a", membership.Link{})
	body, err := pack.Marshal(heartbeat)
	c.Assert(err, qt.IsNil)
	plain, err := pack.Marshal(withoutEcho(heartbeat))
	c.Assert(err, qt.IsNil)
	c.Assert(len(body)-len(plain) <= 36, qt.IsTrue, qt.Commentf("%s", fmt.Sprint(len(body)-len(plain), " bytes")))
}

// withoutEcho returns the heartbeat that an older version sends.
func withoutEcho(b Heartbeat) Heartbeat {
	b.Clock, b.Echo = 0, echo.Echo{}
	return b
}
