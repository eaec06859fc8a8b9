package soak

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// recordBytes is the most that a record of the store may have, topicBytes the most that a topic
	// keeps.
	recordBytes = 256 << 10
	topicBytes  = 200 << 20
	// smallEntries is how many further odd entries there are.
	smallEntries = 2000
	// oddDuration is how long callers send requests beside odd entries.
	oddDuration = 4 * time.Second
	// followTime is within what time a daemon must use an instance that has been added.
	followTime = 5 * time.Second
)

// TestOddEntryEndsDaemons guards against daemons that end, or stop following the instances, because of
// what another writer left among their entries.
func TestOddEntryEndsDaemons(t *testing.T) {
	c := qt.New(t)
	s, callers := startLoadedSite(t, binary(t))
	for key, value := range s.oddEntries(c) {
		s.store.Put("servers", key, []byte(value))
	}
	time.Sleep(oddDuration)
	// A daemon that starts reads all of them at once.
	s.daemons[0].kill()
	s.daemons[0].start(t)
	c.Check(callers.waitRecovered(), qt.IsTrue)
	callers.stop()
	s.checkFollowing(c)
	c.Check(callers.violations(), qt.HasLen, 0)
	complete, total := callers.completed()
	t.Logf("%d of %d complete", complete, total)
	c.Check(float64(complete) >= minServedFraction*float64(total), qt.IsTrue, qt.Commentf("%d of %d", complete, total))
	s.checkUndisturbed(c)
}

// oddEntries returns odd entries by key.
func (s *site) oddEntries(c *qt.C) map[string]string {
	text, err := os.ReadFile("testdata/odd_entries.txt")
	c.Assert(err, qt.IsNil)
	out := map[string]string{}
	for _, key := range []string{"", "odd\r\nX-Odd: 1", "odd\xff", "odd/a/b", strings.Repeat("k", 255)} {
		out[key] = entryText("0")
	}
	for n, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		if !strings.HasPrefix(line, "#") {
			out[fmt.Sprintf("odd-%03d", n)] = strings.NewReplacer("ADDR", s.daemons[0].addr, "HEAD", s.pool.Instances()[0].Addr.String()).Replace(line)
		}
	}
	for _, depth := range []int{1000, 9_990, 10_010, recordBytes/2 - 200} {
		out[fmt.Sprintf("deep-%d", depth)] = entryText(strings.Repeat("[", depth) + strings.Repeat("]", depth))
		out[fmt.Sprintf("open-%d", depth)] = strings.Repeat("[", depth)
	}
	for n := range smallEntries {
		out[fmt.Sprintf("small-%d", n)] = `{"Service":"plain","Address":"10.0.0.1:99999"}`
	}
	return out
}

// entryText returns an entry with an address that nobody serves, and with a further field.
func entryText(further string) string {
	return `{"Service":"plain","Address":"127.0.0.1:9","Zone":"z","Slots":8,"State":"ready","Sequence":1,"Further":` + further + `}`
}

// checkFollowing checks that all daemons run, and use an instance that is added while all others of the
// plain service leave.
func (s *site) checkFollowing(c *qt.C) {
	for _, i := range s.selectInstances("plain", 1) {
		i.Drain()
	}
	s.add("plain", "")
	client := &http.Client{Timeout: time.Second}
	for _, d := range s.daemons {
		c.Check(residentMemory(d) > 0, qt.IsTrue, qt.Commentf("%s has ended", d.name))
		served := false
		for until := time.Now().Add(followTime); !served && time.Now().Before(until); time.Sleep(10 * memoryInterval) {
			served = send(client, d.addr, newRequest(kindIdempotent, "")).complete
		}
		c.Check(served, qt.IsTrue, qt.Commentf("%s does not follow the entries", d.name))
	}
}

// TestLargeEntriesFillMemory guards against entries of another writer that take a daemon's memory, as
// they are written and when the daemon starts.
func TestLargeEntriesFillMemory(t *testing.T) {
	c := qt.New(t)
	s := startInstances(t, profile)
	s.logs = t.TempDir()
	d := s.newDaemon(binary(t), 0)
	d.flags = append(d.flags, "--memory", strconv.Itoa(smallMemoryMB))
	s.daemons = append(s.daemons, d)
	d.start(t)
	t.Cleanup(d.kill)
	s.waitServing()
	usual := peakMemory(d, func() { time.Sleep(oddDuration) })
	written := peakMemory(d, func() {
		large := []byte(entryText(`"` + strings.Repeat("x", recordBytes-300) + `"`))
		for n := range topicBytes / recordBytes {
			s.store.Put("servers", fmt.Sprintf("large-%d", n), large)
		}
		time.Sleep(oddDuration)
	})
	d.kill()
	d.start(t)
	started := peakMemory(d, func() {
		s.waitServing()
		time.Sleep(oddDuration)
	})
	t.Logf("usually %d MB, as the entries are written %d MB, after a start %d MB", usual>>20, written>>20, started>>20)
	c.Check(max(written, started) <= maxPeakRatio*usual, qt.IsTrue, qt.Commentf("%d and %d MB instead of %d MB", written>>20, started>>20, usual>>20))
	s.checkFollowing(c)
}
