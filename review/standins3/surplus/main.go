// Command surplus is the script of a case on surplus answers: replicas break off some answers and
// follow others by a late surplus answer, and clients read streams meanwhile.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lupinkeel/lupinkeel/review/standins3/rig"
)

const (
	replicas = 12
	daemons  = 3
	// clients is the number of clients of each daemon, each with a connection of its own.
	clients = 25
	model   = "daka510000"
	// The dose: four of twelve replicas break off 2 in 100 of their answers (share .35, x .02), and
	// seven follow 3 in 100 by a late surplus answer (extra late, share .6, x .03), for 5 s at a time.
	breakers, repeaters = 4, 7
	brokenOff           = 0.02
	repeated            = 0.03
	window              = 5 * time.Second
	rest                = time.Second
	loadTime            = 95 * time.Second
	startLimit          = 15 * time.Second
)

// garble makes replicas spoil answers while it is on.
type garble struct {
	site *rig.Site
	on   atomic.Bool

	mu sync.Mutex
	// late holds the connections on which a surplus answer is to come.
	late            map[net.Conn]bool
	broken, surplus int
}

// handler returns how a replica serves requests that may break off answers, or repeat them late.
func (g *garble) handler(breaks, repeats bool) func(*rig.Replica, *rig.Call) bool {
	return func(r *rig.Replica, c *rig.Call) bool { return g.handle(r, c, breaks, repeats) }
}

func (g *garble) handle(r *rig.Replica, c *rig.Call, breaks, repeats bool) bool {
	g.mu.Lock()
	late := g.late[c.Conn]
	delete(g.late, c.Conn)
	g.mu.Unlock()
	if late {
		g.sendSurplus(r, c)
		return true
	}
	if !g.on.Load() {
		return false
	}
	switch {
	case breaks && rand.Float64() < brokenOff:
		g.mu.Lock()
		g.broken++
		g.mu.Unlock()
		c.Close = true
		r.Stream(c, 1+rand.IntN(g.site.Events-1))
		return true
	case repeats && rand.Float64() < repeated:
		g.mu.Lock()
		g.late[c.Conn] = true
		g.mu.Unlock()
	}
	return false
}

// sendSurplus sends a second answer to the request that was answered last on the connection, in the
// place where the next answer is due, and closes the connection, as the answer says.
func (g *garble) sendSurplus(r *rig.Replica, c *rig.Call) {
	g.mu.Lock()
	g.surplus++
	g.mu.Unlock()
	var body strings.Builder
	for n := range g.site.Events {
		fmt.Fprintf(&body, "id: %d\ndata: %s\n\n", n+1, c.Last)
	}
	g.site.Record.Note("surplus", c.Last, "at=%s in the place of %s", r.ID, c.ID)
	c.Close = true
	c.Write(http.StatusOK, http.Header{
		"X-Lupinkeel-Request-Id": {c.Last}, "X-Lupinkeel-Response-Stamp": {r.Stamp(c.Last)},
		"Content-Type": {"text/event-stream"}, "Connection": {"close"},
	}, []byte(body.String()))
}

func main() {
	if err := run(); err != nil {
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
}

func run() error {
	s, err := rig.New(os.Args[1], rig.Model{Name: model, Size: 2, LoadS: 12, WarmS: 1.1})
	if err != nil {
		return err
	}
	s.Events, s.EventGap = 8, 15*time.Millisecond
	g := &garble{site: s, late: map[net.Conn]bool{}}
	for n := range replicas {
		r, err := s.Pool.Add("scribe", "tbilisi-a", "d0")
		if err != nil {
			return err
		}
		r.SetHandler(g.handler(n < breakers, n >= replicas-repeaters))
	}
	if _, err := s.Pool.Add("app", "tbilisi-a", ""); err != nil {
		return err
	}
	for range daemons {
		if _, err := s.AddDaemon("tbilisi-a"); err != nil {
			s.Close()
			return err
		}
	}
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	if err := s.AwaitReady(ctx, replicas/2-1); err != nil {
		return err
	}
	total, whole := play(s, g)
	breaks := s.Record.Breaks()
	fmt.Printf("%d streams, %d answers broken off, %d surplus answers, %d breaks\n", total, g.broken, g.surplus, len(breaks))
	for n, b := range breaks {
		if n < 5 {
			fmt.Println(b)
		}
	}
	if len(breaks) > 0 {
		s.Close()
		os.Exit(1)
	}
	if trouble := os.Getenv("TROUBLE") != "0"; 2*whole < total || trouble && (g.broken == 0 || g.surplus == 0) {
		return fmt.Errorf("only %d of %d streams were whole, or no answer was spoiled", whole, total)
	}
	return nil
}

// play sends streams from all clients, and returns their number and that of the whole ones.
func play(s *rig.Site, g *garble) (sent, served int) {
	var total, whole atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(loadTime)
	for n := range daemons * clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := s.NewClient(s.Daemons[n%daemons])
			defer c.Close()
			for time.Now().Before(end) {
				r := c.Stream(model)
				s.CheckStream(r)
				total.Add(1)
				if r.Complete && len(r.Events) == s.Events {
					whole.Add(1)
				}
				if r.Status != http.StatusOK {
					time.Sleep(200 * time.Millisecond)
				}
			}
		}()
	}
	for trouble := os.Getenv("TROUBLE") != "0"; time.Now().Before(end); time.Sleep(rest) {
		g.on.Store(trouble)
		time.Sleep(window)
		g.on.Store(false)
	}
	wg.Wait()
	return int(total.Load()), int(whole.Load())
}
