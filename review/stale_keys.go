//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// revokeBound is RevokeMs of the deployments.
	revokeBound = 5 * time.Second
	// downFor is how long the store is down, freezeTime how long one machine stands still, and
	// freezeAfter when it freezes, after the key was taken away.
	downFor     = 8 * time.Second
	freezeTime  = 2800 * time.Millisecond
	freezeAfter = 400 * time.Millisecond
	// askFor is for how long requests with the key are sent, from its revocation on, and askEvery
	// the pause between two requests to a daemon.
	askFor   = 10 * time.Second
	askEvery = 50 * time.Millisecond
)

// staleKeys takes a key away, lets the store be down from then on, and freezes one of six daemons.
// Requests with the key are sent to all of them.
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
	var frozen *daemon
	for _, d := range s.daemons {
		d.keepLog = true
		if !strings.Contains(d.logText(), "planning-begun") {
			frozen = d
		}
		before := s.request(d, "revoked")
		s.note("request %s to %s while the key holds: status %d, error %v", before.id, d.name, before.status, before.err)
		if before.status != http.StatusOK {
			return false, fmt.Errorf("the key is not accepted while it holds: status %d, error %w", before.status, before.err)
		}
	}
	if frozen == nil {
		return false, errors.New("all daemons have been planner")
	}
	acked := s.configure(101, "kept")
	if s.trouble {
		s.disrupt(frozen)
	}
	answers := s.askAll("revoked")
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
		s.note("request %s sent to %s %.3f s after the acknowledgement: status %d, error %v, %s", a.id, a.daemon, after.Seconds(), a.status, a.err, line)
	}
	s.note("sum: %d of %d requests with the key were sent more than %v after the acknowledgement and run", late, len(answers), revokeBound)
	return late > 0, nil
}

// disrupt takes the store down, and freezes a daemon a little later.
func (s *site) disrupt(frozen *daemon) {
	for _, d := range s.daemons {
		d.gate.busy.Store(true)
	}
	s.note("the store is down for %v", downFor)
	time.AfterFunc(downFor, func() {
		for _, d := range s.daemons {
			d.gate.busy.Store(false)
		}
		s.note("the store is up again")
	})
	time.AfterFunc(freezeAfter, func() {
		s.note("%s freezes", frozen.name)
		frozen.signal(syscall.SIGSTOP)
	})
	time.AfterFunc(freezeAfter+freezeTime, func() {
		frozen.signal(syscall.SIGCONT)
		s.note("%s is awake", frozen.name)
	})
}

// askAll sends requests with a key to all daemons.
func (s *site) askAll(key string) []answer {
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	for until := time.Now().Add(askFor); time.Now().Before(until); time.Sleep(askEvery) {
		for _, d := range s.daemons {
			wg.Add(1)
			go func() {
				defer wg.Done()
				a := s.request(d, key)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}()
		}
	}
	wg.Wait()
	return answers
}
