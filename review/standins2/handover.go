package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// The site has the sizes of bg-kafe-abonament.
	handoverDaemons = 7
	handoverDomains = 6
	perDomain       = 8
	// lateShare is the share of orders that are late during the disruption.
	lateShare = 0.35
	// shiftTime is the time between two shifts of the demand, handoverTime how long all lasts.
	shiftTime    = 16 * time.Second
	handoverTime = 96 * time.Second
	// killDelay is how long after the first order to a member of another group the daemon that gave
	// it is killed, minKillGap the least time between two kills, restartDelay the time until a killed
	// daemon starts again.
	killDelay    = 100 * time.Millisecond
	minKillGap   = 9 * time.Second
	restartDelay = 2 * time.Second
	// Callers of the model in demand and of the other one, per daemon.
	manyCallers = 14
	fewCallers  = 2
)

// playHandover shifts the demand between two models, so that groups are closed and their members
// join groups of the other model. Some orders are late, and the daemon that gives them is killed.
func playHandover(s *site) error {
	s.store.Put("op", "config", fmt.Appendf(nil, handoverConfig))
	e := newEngines(s, uint64(time.Now().UnixNano()))
	defer e.stop()
	for n := range handoverDomains {
		for range perDomain {
			if err := e.add(string(zones[n%len(zones)]), fmt.Sprintf("d%d", n)); err != nil {
				return err
			}
		}
	}
	for n := range 3 {
		if _, err := s.pool.Add("feed", zones[n], ""); err != nil {
			return err
		}
	}
	for range handoverDaemons {
		if _, err := s.startDaemon(true); err != nil {
			return err
		}
	}
	if err := e.waitOpen(); err != nil {
		return err
	}
	// Hosts get the other model's weights before traffic begins.
	time.Sleep(6 * time.Second)
	var wanted atomic.Int64
	load := newCallers(s, callerDeadline)
	load.noPlain = true
	load.chooseModel = func(turn int) string {
		if turn%(manyCallers+fewCallers) < fewCallers {
			return fmt.Sprintf("m%d", 1-wanted.Load())
		}
		return fmt.Sprintf("m%d", wanted.Load())
	}
	for _, d := range s.running() {
		load.startFixed(d, manyCallers+fewCallers, 50*time.Millisecond)
	}
	if s.trouble {
		e.setLate(lateShare)
		e.setOnJoin(newKiller(s).joinArrived)
	}
	began := time.Now()
	for n := 0; time.Since(began) < handoverTime; n++ {
		wanted.Store(int64(n % 2))
		s.note("callers want m%d", n%2)
		time.Sleep(shiftTime)
	}
	e.setOnJoin(nil)
	load.stop()
	return e.check()
}

func (e *engines) setOnJoin(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onJoin = f
}

// waitOpen waits until both models have open groups.
func (e *engines) waitOpen() error {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		open := map[string]int{}
		e.mu.Lock()
		for _, i := range e.byID {
			if i.state == stateOpen {
				open[i.model]++
			}
		}
		e.mu.Unlock()
		if open["m0"] > 0 && open["m1"] > 0 {
			return nil
		}
	}
	return fmt.Errorf("no groups are open after 30 s")
}

func (e *engines) check() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.s.note("%d requests ran; %d violations", len(e.runs), len(e.violations))
	if len(e.violations) > 0 {
		return fmt.Errorf("%w %d times: %s", errBroken, len(e.violations), e.violations[0])
	}
	return nil
}

// killer kills the daemon that gave the last order.
type killer struct {
	s    *site
	mu   sync.Mutex
	last time.Time
}

func newKiller(s *site) *killer { return &killer{s: s} }

// joinArrived is called when an order has arrived at a member of another group.
func (k *killer) joinArrived() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.last) < minKillGap {
		return
	}
	k.last = time.Now()
	time.AfterFunc(killDelay, k.kill)
}

func (k *killer) kill() {
	d := k.s.planner()
	if d == nil {
		k.s.note("no daemon to kill")
		return
	}
	k.s.note("kill %s, which gave the last order", d.name)
	d.signal(syscall.SIGKILL)
	time.AfterFunc(restartDelay, func() {
		if err := k.s.restart(d); err != nil {
			k.s.note("%s does not start again: %v", d.name, err)
		}
	})
}

// planner returns the running daemon whose log shows the last order.
func (s *site) planner() *daemon {
	var best *daemon
	last := ""
	for _, d := range s.running() {
		if d.hasEnded() {
			continue
		}
		data, err := os.ReadFile(filepath.Join(s.dir, d.name+".log"))
		if err != nil {
			continue
		}
		at := bytes.LastIndex(data, []byte("event=order-given"))
		if at < 0 {
			continue
		}
		start := bytes.LastIndexByte(data[:at], '\n') + 1
		if stamp := string(data[start:at]); stamp > last {
			best, last = d, stamp
		}
	}
	return best
}
