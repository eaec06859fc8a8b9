package gateway

import (
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/platform"
)

// changedConfig is the configuration of TestConfigChangesKeepRequests. The parts that a case may leave out
// or change are marked.
const changedConfig = `{"Version":1,"Routes":[` + changedRoutes + `],"Services":[` + changedServices + `],
"Limits":{"MaxBodyBytes":1000},"Tenants":[{"Name":"ws","ApiKeys":["k1"]}]}`

const (
	changedRoutes = `{"Name":"unary","Host":"api.example","PathPrefix":"/unary/","RouteType":"non_idempotent","TimeoutMs":4000,"TargetLatencyMs":150,"Service":"plain","MaxAttempts":2},
{"Name":"stream","Host":"api.example","PathPrefix":"/stream/","RouteType":"streaming","TimeoutMs":4000,"TargetLatencyMs":400,"Service":"engines","MaxAttempts":2,"StreamResume":true,"gap_aim_ms":300}`
	changedServices = `{"Name":"plain","MaxConnections":10},{"Name":"engines","MaxConnections":10` + changedEngine + `}`
	changedEngine   = `,"Engine":{"Slots":4,"step_ms":8,"per_seq_ms":0.1,"read_per_s":40000,"chunk":2048,"stride":5,"loads_per_s":5,"loads_at_once":7,"form_ms":300,"Models":[{"Name":"big","size":1,"share":1,"pace":1,"load_s":16,"WarmS":1.6}]}`
)

// changingNode is a Node whose view changes.
type changingNode struct {
	*fakeNode
	current atomic.Pointer[cluster.View]
}

func (n *changingNode) View() *cluster.View { return n.current.Load() }

// LoadsAge returns that of the first view.
func (n *changingNode) LoadsAge() time.Duration { return n.fakeNode.LoadsAge() }

// TestConfigChangesKeepRequests guards against requests under way that a new configuration cuts: they keep
// the route, the time and the connection that they began with.
func TestConfigChangesKeepRequests(t *testing.T) {
	script, err := os.ReadFile("testdata/config_changes.txt")
	qt.Assert(t, err, qt.IsNil)
	cases := lines(string(script))
	qt.Assert(t, cases, qt.Not(qt.HasLen), 0)
	for _, line := range cases {
		words := strings.Fields(line)
		_, steps, _ := strings.Cut(line, words[1])
		t.Run(words[0], func(t *testing.T) {
			t.Parallel()
			playConfigChange(qt.New(t), words[0], words[1], strings.Split(strings.TrimSpace(steps), ","))
		})
	}
}

// playConfigChange changes the configuration after a request has begun, and checks that it is answered whole.
func playConfigChange(c *qt.C, name, change string, steps []string) {
	path, instance := "/unary/x", "p1"
	if !strings.HasPrefix(name, "unary") {
		path, instance = "/stream/x", "g1"
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	i := &fakeInstance{name: instance, l: l, steps: append([]string{"read"}, steps...), done: make(chan error, 1)}
	go func() { i.done <- i.serve() }()
	node := &changingNode{fakeNode: newFakeNode(c, changedConfig, []*fakeInstance{i})}
	node.current.Store(node.view)
	cfg := Settings{MaxKeysProofAge: time.Minute, MaxConfigAge: time.Minute, RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second, FirstStart: true}
	g := New(cfg, node, newScheduler(), metrics.NewSet(), zerolog.Nop())
	front := newFront(g)
	defer front.Close()
	answer := make(chan string, 1)
	go func() { answer <- sendRequest(front.URL, "POST "+path+" id=1 key=k1 model=big body=x") }()
	received := func() int {
		i.mu.Lock()
		defer i.mu.Unlock()
		return len(i.requests)
	}
	c.Assert(awaitCount(received, "1"), qt.IsTrue)
	time.Sleep(50 * time.Millisecond)
	next := *node.view
	next.Routing, err = platform.DecodeRouting([]byte(changeConfig(change)))
	c.Assert(err, qt.IsNil)
	if change == "without=services" {
		next.Groups, next.Services, next.Instances = nil, nil, nil
	}
	node.current.Store(&next)
	g.conns.SetMaxIdle(idleConnLimits(&next, cfg.Listen))
	g.durations.prune(next.Routing)
	g.conns.Sweep(time.Now().Add(time.Minute))
	g.scheduler.prune(next.Instances, next.Groups)
	want := `200 id: 1\ndata: ` + instance + `\n\n`
	if strings.HasPrefix(name, "stream") {
		want += `id: 2\ndata: ` + instance + `\n\n`
	}
	c.Check(<-answer, qt.Equals, want+" by "+instance)
	c.Assert(l.Close(), qt.IsNil)
	c.Assert(<-i.done, qt.IsNil)
	c.Check(i.requests, qt.HasLen, 1)
}

// changeConfig returns the configuration with a change.
func changeConfig(change string) string {
	replaced := map[string][]string{
		"without=routes":   {changedRoutes, ""},
		"without=services": {changedRoutes, "", changedServices, ""},
		"without=engines":  {changedEngine, ""},
		"without=keys":     {`"k1"`, ""},
		"timeout=100":      {`"TimeoutMs":4000`, `"TimeoutMs":100`},
		"attempts=1":       {`"MaxAttempts":2`, `"MaxAttempts":1`},
	}
	return strings.NewReplacer(replaced[change]...).Replace(changedConfig)
}
