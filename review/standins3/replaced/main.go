// Command replaced plays a small deployment whose machines are replaced one after the other, as
// planned, and then a release of the plain service.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lupinkeel/lupinkeel/review/standins3/rig"
)

const (
	daemons, engines, plain = 6, 8, 12
	// replacements is the number of machines that are replaced, replaceGap the time between two.
	replacements = 33
	replaceGap   = 500 * time.Millisecond
	// settleTime is longer than GraceS, in which the last machines stop, and than ContactMs.
	settleTime = 10 * time.Second
	// releaseTime is for how long one replica after the other is replaced, each releaseGap.
	releaseTime = 76 * time.Second
	releaseGap  = 790 * time.Millisecond
	// drainBound is DrainMs; a replica serves on for a while longer.
	drainBound = 2 * time.Second
	servesOn   = 4 * time.Second
	clients    = 18
	startLimit = 15 * time.Second
	// releaseLimit is how long after the start of the case a replica may leave last, so that the case
	// takes less than 120 s where daemons start slowly.
	releaseLimit = 111 * time.Second
)

// errNothingServed: no request was answered with 200, so that the case shows nothing.
var errNothingServed = errors.New("no request was served")

var zones = []string{"tbilisi-a", "tbilisi-b", "tbilisi-c"}

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
	began := time.Now()
	s, err := rig.New(os.Args[1], rig.Model{Name: "daka510000", Size: 2, LoadS: 12, WarmS: 1.1})
	if err != nil {
		return false, err
	}
	for range engines {
		if _, err := s.Pool.Add("scribe", zones[0], "d0"); err != nil {
			return false, err
		}
	}
	var old []*rig.Replica
	for n := range plain {
		r, err := s.Pool.Add("app", zones[n%len(zones)], "")
		if err != nil {
			return false, err
		}
		old = append(old, r)
	}
	defer s.Close()
	var live []*rig.Daemon
	for n := range daemons {
		d, err := s.AddDaemon(zones[n%len(zones)])
		if err != nil {
			return false, err
		}
		live = append(live, d)
	}
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	if err := s.AwaitReady(ctx, 2); err != nil {
		return false, err
	}
	c := s.NewClient(live[0])
	c.Stream("daka510000")
	c.Close()
	if live, err = replace(s, live); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	var served atomic.Int64
	stop := startClients(s, live, &served)
	defer stop()
	time.Sleep(time.Second)
	end := time.Now().Add(releaseTime)
	if latest := began.Add(releaseLimit); latest.Before(end) {
		end = latest
	}
	broken := release(s, old, end)
	if served.Load() == 0 {
		return false, errNothingServed
	}
	return broken, nil
}

// replace replaces the daemons in turn: a new one starts, and the old one gets SIGTERM.
func replace(s *rig.Site, live []*rig.Daemon) ([]*rig.Daemon, error) {
	for n := range replacements {
		if os.Getenv("TROUBLE") != "0" {
			d, err := s.AddDaemon(zones[n%len(zones)])
			if err != nil {
				return nil, err
			}
			live[0].Signal(syscall.SIGTERM)
			live = append(live[1:], d)
		}
		time.Sleep(replaceGap)
	}
	return live, nil
}

func startClients(s *rig.Site, live []*rig.Daemon, served *atomic.Int64) (stop func()) {
	var wg sync.WaitGroup
	var ended atomic.Bool
	for n := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := s.NewClient(live[n%len(live)])
			defer c.Close()
			for !ended.Load() {
				if r := c.Send(http.MethodGet, "/pull/x", time.Second, http.Header{}, nil); r.Status == http.StatusOK {
					served.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	return sync.OnceFunc(func() {
		ended.Store(true)
		wg.Wait()
	})
}

// release replaces the replicas of the plain service in turn until end, and reports whether any got requests too
// long after it had said that it is leaving.
func release(s *rig.Site, old []*rig.Replica, end time.Time) bool {
	var late, drains, lateDrains atomic.Int64
	var leaving sync.WaitGroup
	for ; time.Now().Before(end); time.Sleep(releaseGap) {
		r, err := s.Pool.Add("app", zones[len(old)%len(zones)], "")
		if err != nil {
			// No replica leaves without a new one.
			s.Record.Note("not-added", "", "%v", err)
			continue
		}
		leaver := old[0]
		old = append(old[1:], r)
		drains.Add(1)
		leaving.Add(1)
		go func() {
			defer leaving.Done()
			if n := drain(s, leaver); n > 0 {
				late.Add(n)
				lateDrains.Add(1)
			}
		}()
	}
	leaving.Wait()
	fmt.Printf("%d replicas left, %d of them got %d requests later than %v after the store took that they are draining\n", drains.Load(), lateDrains.Load(), late.Load(), drainBound)
	if late.Load() > 0 {
		s.Record.Broken("DRAIN: %d requests, at %d of %d replicas", late.Load(), lateDrains.Load(), drains.Load())
	}
	return late.Load() > 0
}

// drain lets a replica leave, and returns how many requests reached it too late.
func drain(s *rig.Site, r *rig.Replica) int64 {
	var late atomic.Int64
	var since atomic.Pointer[time.Time]
	r.SetHandler(func(_ *rig.Replica, c *rig.Call) bool {
		if at := since.Load(); at != nil && time.Since(*at) > drainBound {
			late.Add(1)
			s.Record.Note("late", c.ID, "at=%s %.3f s after it said draining", r.ID, time.Since(*at).Seconds())
		}
		return false
	})
	r.Drain()
	at := time.Now()
	since.Store(&at)
	s.Record.Note("draining", r.ID, "")
	time.Sleep(servesOn)
	r.Leave()
	return late.Load()
}
