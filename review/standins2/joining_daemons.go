package main

import (
	"fmt"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// firstDaemons is the number of daemons at the start, addedDaemons the number of those that are
	// added later.
	firstDaemons = 20
	addedDaemons = 4
	// routeTimeout is TimeoutMs of all routes, callerDeadline how long callers wait.
	routeTimeout   = 4 * time.Second
	callerDeadline = 8 * time.Second
	// callersPerDaemon send one request after the other with callerPause between them.
	callersPerDaemon = 8
	callerPause      = 200 * time.Millisecond
	// calmTime is how long the first daemons serve before daemons are added, loadTime how long the
	// load goes on then. The requests sent in the first contactTime after the change do not count.
	calmTime    = 5 * time.Second
	loadTime    = 30 * time.Second
	contactTime = 3 * time.Second
	// answerSlack is how long after its route's time-out a request may still be answered, minLate
	// from how many unanswered requests on the rule is broken.
	answerSlack = 500 * time.Millisecond
	minLate     = 8
)

// playJoiningDaemons adds daemons to a site and checks that requests are answered half a second
// after their routes' time-outs at the latest, at daemons that were there all the time.
func playJoiningDaemons(s *site) error {
	s.store.Put("op", "config", fmt.Appendf(nil, configText, routeTimeout.Milliseconds()))
	if err := s.addInstances(6, 3); err != nil {
		return err
	}
	for range firstDaemons {
		if _, err := s.startDaemon(true); err != nil {
			return err
		}
	}
	if err := s.waitServing(); err != nil {
		return err
	}
	first := s.daemons[:firstDaemons:firstDaemons]
	load := newCallers(s, callerDeadline)
	for _, d := range first {
		load.start(d, callersPerDaemon, callerPause)
	}
	time.Sleep(calmTime)
	if s.trouble {
		s.note("%d daemons are added", addedDaemons)
		for range addedDaemons {
			if _, err := s.startDaemon(false); err != nil {
				return err
			}
		}
	}
	counted := time.Now().Add(contactTime)
	time.Sleep(loadTime)
	return s.checkAnswers(load.stop(), counted)
}

// checkAnswers checks the requests that were sent from a time on.
func (s *site) checkAnswers(all []request, from time.Time) error {
	sent, open, late := 0, 0, 0
	lateAt := map[*daemon]int{}
	for _, r := range all {
		if r.sent.Before(from) {
			continue
		}
		sent++
		if !r.answered.IsZero() && r.answered.Sub(r.sent) < routeTimeout {
			continue
		}
		open++
		if r.answered.IsZero() || r.answered.Sub(r.sent) > routeTimeout+answerSlack {
			late++
			lateAt[r.daemon]++
		}
	}
	s.note("%d requests sent; %d unanswered at their time-out, %d of these %v later", sent, open, late, answerSlack)
	for d, n := range lateAt {
		s.note("%s left %d requests unanswered; ready=%t", d.name, n, d.isReady())
		for _, line := range s.blockedOn(d) {
			s.note("%s: %s", d.name, line)
		}
	}
	for _, r := range all {
		s.note("ran %s %d times", r.id, s.pool.RunCount(models.RequestID(r.id)))
	}
	if late >= minLate && 2*late > open {
		return fmt.Errorf("%w: of %d requests that were unanswered at their route's time-out, %d at %d daemons remained without an answer %v later", errBroken, open, late, len(lateAt), answerSlack)
	}
	return nil
}
