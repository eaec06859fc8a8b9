//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// greyFor, greyPart are for_s and x of srv_grey: how long a server is grey, and the part of its
	// requests that it fails, in thousandths.
	greyFor  = 6500 * time.Millisecond
	greyPart = 400
	// sendEvery is the pause between two requests.
	sendEvery = 20 * time.Millisecond
)

// refusedRan lets one of eight plain servers fail a part of its requests after it has run them, and
// sends requests that may not be repeated.
func refusedRan(s *site) (bool, error) {
	zones := []string{"za", "zb", "zc"}
	s.configure(100, "kept")
	for n := range 8 {
		if err := s.addServer("feed-api", zones[n%len(zones)]); err != nil {
			return false, err
		}
	}
	for _, zone := range zones {
		if _, err := s.addDaemon(zone, zones); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	before := s.request(s.daemons[0], "kept")
	if before.status != http.StatusOK {
		return false, fmt.Errorf("a request is not served: status %d, error %w", before.status, before.err)
	}
	grey := s.servers[0]
	if s.trouble {
		grey.grey.Store(greyPart)
		s.note("%s fails %d of 1000 requests for %v", grey.id, greyPart, greyFor)
	}
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	for n, until := 0, time.Now().Add(greyFor); time.Now().Before(until); n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := s.request(s.daemons[n%len(s.daemons)], "kept")
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		}()
		time.Sleep(sendEvery)
	}
	wg.Wait()
	grey.grey.Store(0)
	time.Sleep(time.Second)
	s.mu.Lock()
	runs := s.runs
	s.mu.Unlock()
	broken := 0
	for _, a := range answers {
		r, ran := runs[a.id]
		line := "not run"
		if ran {
			line = fmt.Sprintf("run by %s at %.3f", r.server, s.secondsOf(r.at))
		}
		refused := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
		if ran && refused {
			broken++
			line += ": RULE BROKEN"
		}
		s.note("request %s sent at %.3f: status %d, error %v, %s", a.id, s.secondsOf(a.sent), a.status, a.err, line)
	}
	s.note("sum: %d of %d requests that may not be repeated were answered 503 or 429 although they had run", broken, len(answers))
	return broken > 0, nil
}
