//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/standin/replica"
)

const routeConfig = `{"Version":%d,"Routes":[
{"Name":"first","Host":%q,"PathPrefix":"/lohu930/","RouteType":"streaming","TimeoutMs":8000,"TargetLatencyMs":400,"gap_aim_ms":300,"Priority":1,"Service":"catalogue-llm","MaxAttempts":2,"StreamResume":true}%s],
"Services":[{"Name":"catalogue-llm","HealthPath":"/healthz","MaxConnections":288,"Engine":{"Slots":8,"step_ms":3,"per_seq_ms":0.1,"context_per_k":0.01,"read_per_s":40000,"chunk":2048,"stride":5,"loads_per_s":20,"loads_at_once":20,"form_ms":60,
"Models":[{"Name":"big","size":3,"share":0.5,"pace":1,"load_s":1.2,"WarmS":0.2},{"Name":"small","size":2,"share":0.5,"pace":0.6,"load_s":0.9,"WarmS":0.15}]}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":30000},
"Tenants":[{"Name":"hule930","ApiKeys":["kept"]}]}`

const laterRoute = `,
{"Name":"later","Host":%q,"PathPrefix":"/nafe77/","RouteType":"streaming","TimeoutMs":8000,"TargetLatencyMs":400,"gap_aim_ms":300,"Priority":1,"Service":"catalogue-llm","MaxAttempts":2,"StreamResume":true}`

const (
	// enginesPerDomain is the number of model servers. They form a group of three and one of two, and
	// one is left over.
	enginesPerDomain = 6
	// usualCallers and burstCallers are the callers of the first route before and in addition during
	// the burst: 1.6 times as many. burstFor is how long it lasts.
	usualCallers, burstCallers = 10, 6
	burstFor                   = 14 * time.Second
	// laterCallers are the callers of the route that is added.
	laterCallers = 4
)

// streamCounts counts the streams of a route.
type streamCounts struct{ sent, served atomic.Int64 }

// idleModel lets many callers of one model come at once while nobody asks for the other, and then
// adds a route for that one.
func idleModel(s *site) (bool, error) {
	zones := []string{"za", "zb", "zc"}
	s.store.Put("op", "config", fmt.Appendf(nil, routeConfig, 100, host, ""))
	pool := replica.NewPool(replica.Profile{
		Models: []models.ModelProfile{
			{Name: "big", GroupSize: 3, Share: 0.5, TimeFactor: 1, LoadTime: 1200 * time.Millisecond, WarmLoadTime: 200 * time.Millisecond},
			{Name: "small", GroupSize: 2, Share: 0.5, TimeFactor: 0.6, LoadTime: 900 * time.Millisecond, WarmLoadTime: 150 * time.Millisecond},
		},
		OpenTime: 60 * time.Millisecond, StallTimeout: 6 * time.Second, EventInterval: 15 * time.Millisecond, Events: 12, HeartbeatInterval: heartbeat, Slots: 8,
	}, s.store)
	for range enginesPerDomain {
		if _, err := pool.Add("catalogue-llm", models.Zone(zones[0]), models.Domain("domain-0")); err != nil {
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
	for deadline := time.Now().Add(30 * time.Second); pool.ServingGroups("big") == 0 || pool.ServingGroups("small") == 0; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			return false, errors.New("no groups are formed")
		}
	}
	time.Sleep(3 * time.Second)
	groups := func(when string) {
		s.note("%s: %d groups of big, %d of small", when, pool.ServingGroups("big"), pool.ServingGroups("small"))
	}
	groups("start")
	stop := make(chan struct{})
	var first, later streamCounts
	go s.callers(usualCallers, "/lohu930/2f", "big", stop, &first)
	time.Sleep(5 * time.Second)
	groups("usual traffic")
	if s.trouble {
		burst := make(chan struct{})
		s.note("the burst begins")
		go s.callers(burstCallers, "/lohu930/2f", "big", burst, &first)
		time.AfterFunc(burstFor, func() { close(burst) })
	}
	time.Sleep(burstFor)
	groups("after the burst")
	time.Sleep(5 * time.Second)
	groups("calm")
	s.store.Put("op", "config", fmt.Appendf(nil, routeConfig, 101, host, fmt.Sprintf(laterRoute, host)))
	s.note("configuration 101 acknowledged: a route is added")
	time.Sleep(3 * time.Second)
	sent, served := first.sent.Load(), first.served.Load()
	go s.callers(laterCallers, "/nafe77/2f", "small", stop, &later)
	for range 5 {
		time.Sleep(4 * time.Second)
		groups("the added route is in use")
	}
	firstSent, firstServed := first.sent.Load()-sent, first.served.Load()-served
	laterSent, laterServed := later.sent.Load(), later.served.Load()
	close(stop)
	s.note("sum: on the first route %d of %d served, on the added route %d of %d", firstServed, firstSent, laterServed, laterSent)
	share := func(served, sent int64) float64 { return float64(served) / float64(max(1, sent)) }
	return laterSent >= 20 && share(laterServed, laterSent) < share(firstServed, firstSent)/4, nil
}

// callers runs callers that send one stream after the other, and come back after a refusal as told.
func (s *site) callers(n int, path, model string, stop <-chan struct{}, counts *streamCounts) {
	var wg sync.WaitGroup
	for at := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				counts.sent.Add(1)
				wait, ok := s.streamOnce(s.daemons[at%len(s.daemons)], path, model)
				if ok {
					counts.served.Add(1)
				}
				time.Sleep(wait)
			}
		}()
	}
	wg.Wait()
}

// streamOnce sends one stream, and returns whether it was served whole, and how long to wait before
// the next one.
func (s *site) streamOnce(d *daemon, path, model string) (time.Duration, bool) {
	const pause = 20 * time.Millisecond
	conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", d.ip, frontPort), time.Second)
	if err != nil {
		return pause, false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	id := fmt.Sprintf("%016x", rand.Uint64())
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Lupinkeel-Request-Id: %s\r\nX-Lupinkeel-Model: %s\r\nX-Lupinkeel-Token-Count: 200,60\r\n"+
		"X-Lupinkeel-Prefix-Hash: 5c1e07a2:40,%s:160\r\nX-Lupinkeel-Deadline-Ms: 8000\r\nAuthorization: Token kept\r\nContent-Length: 2\r\n\r\n{}", path, host, id, model, id[:8])
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return pause, false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if after, parseErr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); parseErr == nil {
		return time.Duration(after * float64(time.Second)), false
	}
	return pause, err == nil && resp.StatusCode == http.StatusOK
}
