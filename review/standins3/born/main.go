// Command born is the script of a case on the start times of replicas: a replica is added, its
// machine's clock is set back, it crashes and starts again under its id, and later it leaves as
// planned.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lupinkeel/lupinkeel/review/standins3/rig"
)

var zones = []string{"tbilisi-a", "tbilisi-b", "tbilisi-c"}

const (
	// plain is the number of replicas of the plain service before the one that is added: the one that
	// crashes is an eighth of them (srv_crash: share .14).
	daemons, plain = 3, 7
	// clientsPerDaemon is the number of clients, each with a connection of its own.
	clientsPerDaemon = 16
	// clockStep is how far the clock is set back, and stepTime for how long.
	clockStep = 2 * time.Second
	stepTime  = 5 * time.Second
	// drainBound is DrainMs; the replica serves on for a while longer.
	drainBound = 2 * time.Second
	servesOn   = 8 * time.Second
	startLimit = 15 * time.Second
)

func main() {
	broken, err := run()
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

func run() (bool, error) {
	s, err := rig.New(os.Args[1], rig.Model{Name: "daka510000", Size: 2, LoadS: 12, WarmS: 1.1})
	if err != nil {
		return false, err
	}
	for range 4 {
		if _, err := s.Pool.Add("scribe", "tbilisi-a", "d0"); err != nil {
			return false, err
		}
	}
	for n := range plain {
		if _, err := s.Pool.Add("app", zones[(n+1)%len(zones)], ""); err != nil {
			return false, err
		}
	}
	defer s.Close()
	for n := range daemons {
		if _, err := s.AddDaemon(zones[n%len(zones)]); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	if err := s.AwaitReady(ctx, 1); err != nil {
		return false, err
	}
	stop := startClients(s)
	defer stop()
	time.Sleep(2 * time.Second)
	return play(s)
}

// startClients sends requests to all daemons until the returned function is called.
func startClients(s *rig.Site) (stop func()) {
	var wg sync.WaitGroup
	var ended atomic.Bool
	for _, d := range s.Daemons {
		for n := range clientsPerDaemon {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := s.NewClient(d)
				defer c.Close()
				for !ended.Load() {
					if n%2 == 0 {
						c.Send(http.MethodPost, "/ping/x", time.Second, http.Header{}, []byte("ping"))
					} else {
						c.Send(http.MethodGet, "/pull/x", time.Second, http.Header{}, nil)
					}
					time.Sleep(5 * time.Millisecond)
				}
			}()
		}
	}
	return sync.OnceFunc(func() {
		ended.Store(true)
		wg.Wait()
	})
}

func play(s *rig.Site) (bool, error) {
	trouble := os.Getenv("TROUBLE") != "0"
	r, err := s.Pool.Add("app", "tbilisi-b", "")
	if err != nil {
		return false, err
	}
	s.Record.Note("added", r.ID, "at=%s", r.Addr)
	time.Sleep(600 * time.Millisecond)
	if trouble {
		r.SetClock(-clockStep)
		s.Record.Note("clock-set-back", r.ID, "by=%s", clockStep)
		time.AfterFunc(stepTime, func() { r.SetClock(0) })
	}
	r.Kill()
	s.Record.Note("crashed", r.ID, "")
	time.Sleep(500 * time.Millisecond)
	if err := r.Restart(); err != nil {
		return false, err
	}
	s.Record.Note("started", r.ID, "under the same id")
	time.Sleep(stepTime)
	var late, total atomic.Int64
	var since atomic.Pointer[time.Time]
	r.SetHandler(func(_ *rig.Replica, c *rig.Call) bool {
		total.Add(1)
		if at := since.Load(); at != nil && time.Since(*at) > drainBound {
			late.Add(1)
			s.Record.Note("late", c.ID, "%.3f s after the store took that the replica is draining", time.Since(*at).Seconds())
		}
		return false
	})
	time.Sleep(time.Second)
	before := total.Load()
	r.Drain()
	acknowledged := time.Now()
	since.Store(&acknowledged)
	s.Record.Note("draining", r.ID, "")
	time.Sleep(servesOn)
	r.Leave()
	fmt.Printf("%d requests in the second before the replica said that it is leaving, %d later than %v after it\n", before, late.Load(), drainBound)
	if late.Load() > 0 {
		s.Record.Broken("DRAIN: %d requests reached %s later than %v after the store took that it is draining", late.Load(), r.ID, drainBound)
	}
	if before == 0 {
		return false, errors.New("the replica got no requests before it said that it is leaving")
	}
	return late.Load() > 0, nil
}
