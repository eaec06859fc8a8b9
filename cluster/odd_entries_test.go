package cluster

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

// TestOddEntryHidesInstance guards against an odd entry of another writer whose values make the true
// entries of an instance count as older. It runs the lines of testdata/odd_entries.txt:
//
//	reset                  starts over with new daemons
//	entry ID FIELDS        the instance writes its entry
//	odd ID FIELDS          another writer writes an entry under its ID
//	unreadable ID          another writer writes one that can't be decoded
//	remove ID              the entry is removed
//	restore                the store is restored, and then holds what is written next
//	report ID FIELDS       the instance answers a probe of the planner
//	leaving ID             a response of the instance says that it leaves
//	expect ID FIELDS       checks what is known of the instance; "gone" that it is not known
//
// FIELDS are port=N of the address, seq=N, born=MILLISECONDS and state=STATE. One daemon plans and
// reads the store, one gets its updates, and one reads the store itself. An instance's entries are read
// one by one.
func TestOddEntryHidesInstance(t *testing.T) {
	c := qt.New(t)
	f, err := os.Open("testdata/odd_entries.txt")
	c.Assert(err, qt.IsNil)
	defer f.Close()
	var s *oddEntryScript
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		line, _, _ := strings.Cut(lines.Text(), "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if words[0] == "reset" {
			s = newOddEntryScript(t)
			continue
		}
		s.line = qt.Commentf("odd_entries.txt:%d: %s", n, line)
		s.run(words)
	}
	c.Assert(lines.Err(), qt.IsNil)
}

type oddEntryScript struct {
	c       *qt.C
	daemons map[string]*owner
	end     models.Position
	// snapshot is set if the next record is read as part of a snapshot.
	snapshot bool
	line     qt.Comment
}

func newOddEntryScript(t *testing.T) *oddEntryScript {
	s := &oddEntryScript{c: qt.New(t), daemons: map[string]*owner{"planner": newTestOwner(t), "updated": newTestOwner(t), "reader": newTestOwner(t)}}
	for _, o := range s.daemons {
		o.config.routing = &models.Routing{}
		t.Cleanup(func() { s.c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	}
	s.daemons["planner"].handleLease(leaseHeld{term: 1, until: time.Now().Add(time.Minute)})
	return s
}

func (s *oddEntryScript) run(words []string) {
	if words[0] == "restore" {
		s.end, s.snapshot = models.Position{Era: s.end.Era + 1}, true
		return
	}
	id := words[1]
	switch words[0] {
	case "entry", "odd":
		s.write(id, s.encode(words[2:]))
	case "unreadable":
		s.write(id, []byte(`{"Address":"127.0.0.1:99999"}`))
	case "remove":
		s.write(id, nil)
	case "report":
		var entry struct {
			Born int64 `json:"born"`
		}
		s.c.Assert(json.Unmarshal(s.encode(words[2:]), &entry), qt.IsNil, s.line)
		report := models.UpstreamInstance{ID: models.InstanceID(id), StartedAt: time.UnixMilli(entry.Born)}
		planner := s.daemons["planner"]
		s.update(func() { planner.handleProbeResult(probeFinished{instance: report, sentAt: time.Now()}) })
	case "leaving":
		for _, o := range s.daemons {
			o.n.breakers.ObserveHead(models.InstanceID(id), o.fleet.instances[models.InstanceID(id)].StartedAt, models.ResponseHead{Leaving: true})
			o.applyLeavingSignals(time.Now())
		}
	case "expect":
		for name, o := range s.daemons {
			s.c.Check(describeInstance(o, models.InstanceID(id)), qt.Equals, strings.Join(words[2:], " "), qt.Commentf("%s at the %s", s.line.String(), name))
		}
	default:
		s.c.Fatalf("%s: no such command", s.line.String())
	}
}

// describeInstance describes what a daemon knows of an instance.
func describeInstance(o *owner, id models.InstanceID) string {
	k, known := o.fleet.instances[id]
	if !known {
		return "gone"
	}
	state := "ready"
	if k.Draining {
		state = "draining"
	}
	return fmt.Sprintf("port=%d state=%s", k.Addr.Port(), state)
}

// encode returns an entry as the store holds it.
func (s *oddEntryScript) encode(words []string) []byte {
	entry := map[string]any{"Service": "plain", "Zone": "z", "Slots": 8, "State": "ready"}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "port":
			entry["Address"] = "127.0.0.1:" + value
		case "seq":
			entry["Sequence"] = json.Number(value)
		case "born":
			entry["born"] = json.Number(value)
		case "state":
			entry["State"] = value
		default:
			s.c.Fatalf("%s: no field %s", s.line.String(), name)
		}
	}
	data, err := json.Marshal(entry)
	s.c.Assert(err, qt.IsNil)
	return data
}

// write has the daemons read a record, and the planner send what has changed.
func (s *oddEntryScript) write(id string, value []byte) {
	record := platform.KeyedRecord{Key: id, Value: value, Position: s.end}
	s.end.Offset++
	read := readResult{records: []platform.KeyedRecord{record}, end: s.end, requestedAt: time.Now()}
	s.update(func() { s.daemons["planner"].handleEntries(read, s.snapshot) })
	s.daemons["reader"].handleEntries(read, s.snapshot)
	s.snapshot = false
}

// update has the planner handle something, and sends what has changed to the daemon that gets updates.
func (s *oddEntryScript) update(handle func()) {
	planner := s.daemons["planner"]
	since, sent := planner.fleet.broadcastEnd, planner.fleet.updateSeq
	handle()
	var updates []InstanceUpdate
	for _, u := range planner.fleet.pendingUpdates {
		updates = append(updates, u.asOf(time.Now()))
	}
	if planner.fleet.updateSeq == sent {
		planner.broadcastUpdates()
	}
	s.daemons["updated"].handleUpdate(updateReceived{
		term: 1, seq: planner.fleet.updateSeq, instances: updates, entries: planner.entriesSince(since), receivedAt: time.Now(), writtenAfter: time.Now(),
	})
}
