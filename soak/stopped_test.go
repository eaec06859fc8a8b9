package soak

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/standin/store"
)

const (
	// stopDelay is how long after a key was revoked the first daemon is stopped.
	stopDelay = 400 * time.Millisecond
	// lateRequests is for how long after the bound for revoked keys requests are checked.
	lateRequests = 3 * time.Second
	// revokedInterval is the pause between two requests with the revoked key to a daemon.
	revokedInterval = 50 * time.Millisecond
)

// TestStoppedDaemonAcceptsRevokedKey guards against daemons that accept a revoked key for longer than
// the bound because heartbeats waited while one of them was stopped. The store is down, so that no
// daemon can learn of the revocation.
func TestStoppedDaemonAcceptsRevokedKey(t *testing.T) {
	bin := binary(t)
	for _, test := range []struct {
		name string
		// stops are the durations for which daemons are stopped in turn, running the time to run in
		// between. all is set if every daemon is stopped in turn, otherwise it is always the same.
		stops []time.Duration
		run   time.Duration
		all   bool
	}{
		{"once", []time.Duration{2 * time.Second}, 0, false},
		{"half_seconds", repeated(400*time.Millisecond, 10), 100 * time.Millisecond, false},
		{"in_turn", repeated(700*time.Millisecond, 6), 50 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startSite(t, bin, t.TempDir(), "--strict-keys=true")
			s.waitServing()
			s.expectStatus("while the key is valid", http.StatusOK)
			s.store.SetFaults(store.Faults{Busy: true})
			s.configureKeys("k2")
			revokedAt := time.Now()
			late, early := s.sendRevoked(revokedAt), s.watchConfigAges(revokedAt)
			time.Sleep(stopDelay)
			for n, d := range test.stops {
				stopped := s.daemons[0]
				if test.all {
					stopped = s.daemons[n%len(s.daemons)]
				}
				stopped.signal(syscall.SIGSTOP)
				time.Sleep(d)
				stopped.signal(syscall.SIGCONT)
				time.Sleep(test.run)
			}
			accepted, tooNew := late(), early()
			qt.Check(t, accepted, qt.HasLen, 0, qt.Commentf("%d requests: %s", len(accepted), strings.Join(accepted, "\n")))
			qt.Check(t, tooNew, qt.HasLen, 0, qt.Commentf("%d ages: %s", len(tooNew), strings.Join(tooNew, "\n")))
		})
	}
}

func repeated(d time.Duration, n int) []time.Duration {
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = d
	}
	return out
}

// eachDaemon calls the function for each daemon every revokedInterval, until requests with the revoked
// key are no longer checked. The returned function waits for the last call, and returns all results
// but the empty ones.
func (s *site) eachDaemon(revokedAt time.Time, act func(*daemon) string) func() []string {
	var mu sync.Mutex
	var results []string
	var wg sync.WaitGroup
	for _, d := range s.daemons {
		wg.Go(func() {
			for time.Since(revokedAt) < keysBound+lateRequests {
				if result := act(d); result != "" {
					mu.Lock()
					results = append(results, result)
					mu.Unlock()
				}
				time.Sleep(revokedInterval)
			}
		})
	}
	return func() []string {
		wg.Wait()
		return results
	}
}

// sendRevoked sends requests with a revoked key to all daemons. The returned function returns those
// that were accepted although they were sent after the bound.
func (s *site) sendRevoked(revokedAt time.Time) func() []string {
	client := &http.Client{Timeout: 4 * time.Second}
	return s.eachDaemon(revokedAt, func(d *daemon) string {
		sentAt := time.Now()
		r := send(client, d.addr, newRequest(kindIdempotent, ""))
		if age := sentAt.Sub(revokedAt); age > keysBound && r.status == http.StatusOK {
			return fmt.Sprintf("%s accepted the key %v after its revocation", d.name, age)
		}
		return ""
	})
}

// watchConfigAges reads the ages of their configurations from the metrics of all daemons. The returned
// function returns those of daemons that took the configuration for confirmed after the revocation.
func (s *site) watchConfigAges(revokedAt time.Time) func() []string {
	client := &http.Client{Timeout: 4 * time.Second}
	return s.eachDaemon(revokedAt, func(d *daemon) string {
		sentAt := time.Now()
		age, err := configAge(client, d.metrics)
		if err != nil {
			return fmt.Sprintf("%s: %v", d.name, err)
		}
		if at := sentAt.Add(-age); at.After(revokedAt) {
			return fmt.Sprintf("%s took the configuration for confirmed %v after the revocation", d.name, at.Sub(revokedAt))
		}
		return ""
	})
}

// configAge returns the age of the configuration's confirmation at a daemon.
func configAge(client *http.Client, addr string) (time.Duration, error) {
	resp, err := client.Get("http://" + addr + "/metrics")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if text, found := strings.CutPrefix(lines.Text(), "lupinkeel_config_age_seconds "); found {
			seconds, err := strconv.ParseFloat(text, 64)
			return time.Duration(seconds * float64(time.Second)), err
		}
	}
	return 0, errors.New("no lupinkeel_config_age_seconds among the metrics")
}
