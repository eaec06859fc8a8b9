package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// revokeBound is RevokeMs of the deployments.
	revokeBound = 5 * time.Second
	// turnedAwayFor is how long the store turns one of six daemons away, freezeTime how long
	// that daemon stands still.
	turnedAwayFor = 9 * time.Second
	freezeTime    = 5 * time.Second
	// freezeAfter is when it freezes, after the store has begun to turn it away;
	// revokeAfter is when the key is taken away, after that.
	freezeAfter = 2 * time.Second
	revokeAfter = 200 * time.Millisecond
	// askFor is how long requests with the revoked key are sent to the machine after it has woken.
	askFor = 5 * time.Second
)

// staleKeys lets the store turn one of six daemons away, freezes that daemon, takes a key away, and sends
// the daemon requests with that key once it is awake.
func staleKeys(s *site) (bool, error) {
	zones := []string{"za", "zb", "zc"}
	s.configure(100, "revoked", "kept")
	for _, zone := range zones {
		if err := s.addServer("feed-api", zone); err != nil {
			return false, err
		}
	}
	for n := range 6 {
		if _, err := s.addDaemon(zones[n%len(zones)], zones); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	var others []*daemon
	for _, d := range s.daemons {
		if !strings.Contains(d.logText(), "planning-begun") {
			others = append(others, d)
		}
	}
	if len(others) == 0 {
		return false, errors.New("all daemons have been planner")
	}
	frozen := others[0]
	frozen.keepLog = true
	before := s.request(frozen, "revoked")
	s.note("request %s to %s with the key: status %d, error %v", before.id, frozen.name, before.status, before.err)
	if before.status != 200 {
		return false, fmt.Errorf("the key is not accepted while it holds: status %d, error %w", before.status, before.err)
	}
	if s.trouble {
		s.note("the store turns %s away for %v", frozen.name, turnedAwayFor)
		frozen.gate.busy.Store(true)
		time.AfterFunc(turnedAwayFor, func() {
			frozen.gate.busy.Store(false)
			s.note("the store serves %s again", frozen.name)
		})
	}
	time.Sleep(freezeAfter)
	if s.trouble {
		s.note("%s freezes", frozen.name)
		frozen.signal(syscall.SIGSTOP)
	}
	froze := time.Now()
	time.Sleep(revokeAfter)
	acked := s.configure(101, "kept")
	time.Sleep(time.Until(froze.Add(freezeTime)))
	if s.trouble {
		frozen.signal(syscall.SIGCONT)
		s.note("%s is awake", frozen.name)
	}
	answers := s.askWith(frozen, "revoked")
	late := 0
	s.mu.Lock()
	runs := s.runs
	s.mu.Unlock()
	for _, a := range answers {
		r, ran := runs[a.id]
		after := a.sent.Sub(acked)
		line := "not run"
		if ran {
			line = fmt.Sprintf("run by %s at %.3f for tenant %s", r.server, s.secondsOf(r.at), r.tenant)
		}
		if ran && after > revokeBound {
			late++
			line += ": RULE BROKEN"
		}
		s.note("request %s sent %.3f s after the acknowledgement: status %d, error %v, %s", a.id, after.Seconds(), a.status, a.err, line)
	}
	s.note("%d of %d requests with the revoked key were sent more than %v after the acknowledgement and run", late, len(answers), revokeBound)
	return late > 0, nil
}

// askWith sends requests with a key to a daemon, one each ten milliseconds.
func (s *site) askWith(d *daemon, key string) []answer {
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	for until := time.Now().Add(askFor); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := s.request(d, key)
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		}()
	}
	wg.Wait()
	return answers
}
