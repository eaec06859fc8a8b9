package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/lib/h1"
)

const streamEndConfig = `{"Version":1,"Routes":[
{"Name":"stream","Host":"api.example","PathPrefix":"/stream/","RouteType":"streaming","TimeoutMs":8000,"TargetLatencyMs":200,"Service":"engines","MaxAttempts":2,"StreamResume":true,"gap_aim_ms":300}],
"Services":[{"Name":"engines","MaxConnections":10,"Engine":{"Slots":4,"step_ms":8,"per_seq_ms":0.1,"read_per_s":40000,"chunk":2048,"stride":5,"loads_per_s":5,"loads_at_once":7,"form_ms":300,"Models":[{"Name":"big","size":1,"share":1,"pace":1,"load_s":16,"WarmS":1.6}]}}],
"Limits":{"MaxBodyBytes":1000}}`

// TestCompleteStreamsLost guards against complete streams that are broken off because their responses have no
// length, and against incomplete ones that look complete.
func TestCompleteStreamsLost(t *testing.T) {
	script, err := os.ReadFile("testdata/stream_ends.txt")
	qt.Assert(t, err, qt.IsNil)
	for _, line := range lines(string(script)) {
		name, _, _ := strings.Cut(line, " ")
		t.Run(name, func(t *testing.T) { playStreamEnd(t, strings.Fields(line)[1:]) })
	}
}

func playStreamEnd(t *testing.T, words []string) {
	c := qt.New(t)
	given := map[string]string{"retries": "100"}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		given[name] = value
	}
	asked := &askedIDs{}
	var instances []*fakeInstance
	for _, name := range []string{"g1", "g2"} {
		if given[name] != "" {
			instances = append(instances, startUnframed(c, name, strings.Split(given[name], ","), asked))
		}
	}
	slack, err := strconv.ParseFloat(given["retries"], 64)
	c.Assert(err, qt.IsNil)
	cfg := Settings{MaxKeysProofAge: time.Minute, MaxConfigAge: time.Minute, RetrySlack: slack, RetryWindow: 10 * time.Second, FirstStart: true}
	g := New(cfg, newFakeNode(c, streamEndConfig, instances), newScheduler(), metrics.NewSet(), zerolog.Nop())
	if given["trusted"] != "" {
		for range trustedEnds {
			g.endRecords.noteConfirmed("engines")
		}
	}
	front := newFront(g)
	defer front.Close()
	ctx, cancel := context.WithTimeout(t.Context(), scriptTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, front.URL+"/stream/x", strings.NewReader("x"))
	c.Assert(err, qt.IsNil)
	r.Host = "api.example"
	r.Header.Set("X-Lupinkeel-Request-Id", "1")
	r.Header.Set("X-Lupinkeel-Model", "big")
	first := 1
	if after := given["after"]; after != "" {
		r.Header.Set("Last-Event-Id", after)
		last, err := strconv.Atoi(after)
		c.Assert(err, qt.IsNil)
		first = last + 1
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	body, err := io.ReadAll(resp.Body)
	got, want := 0, ""
	for n := first; n <= strings.Count(string(body), "\n\n")+first-1; n++ {
		got, want = n, want+unframedEvent(n)
	}
	c.Check(string(body), qt.Equals, want)
	text := strconv.Itoa(got)
	if err != nil {
		text += "+cut"
	}
	c.Check(text, qt.Equals, given["want"])
	c.Check(asked.String(), qt.Equals, given["asked"])
}

// askedIDs records the Last-Event-Id of the requests that instances receive.
type askedIDs struct {
	mu  sync.Mutex
	ids []string
}

func (a *askedIDs) add(instance, id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if id == "" {
		id = "."
	}
	a.ids = append(a.ids, instance+":"+id)
}

// String joins what was asked by commas.
func (a *askedIDs) String() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return strings.Join(a.ids, ",")
}

func unframedEvent(id int) string { return fmt.Sprintf("id: %d\ndata: text\n\n", id) }

// startUnframed starts an instance whose responses have no length and end as testdata/stream_ends.txt says.
func startUnframed(c *qt.C, name string, ends []string, asked *askedIDs) *fakeInstance {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var mu sync.Mutex
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		end := ends[0]
		ends = ends[min(1, len(ends)-1):]
		mu.Unlock()
		asked.add(name, r.Header.Get("Last-Event-Id"))
		if end == "-" {
			// The context ends with the connection only once the body was read.
			_, err := io.Copy(io.Discard, r.Body)
			c.Check(err, qt.IsNil)
			<-r.Context().Done()
			return
		}
		serveUnframed(c, w, r, name, end, l)
	})}
	go func() {
		// The listener is closed at the end.
		_ = server.Serve(l)
	}()
	c.Cleanup(func() { c.Check(server.Close(), qt.IsNil) })
	return &fakeInstance{name: name, l: l}
}

func serveUnframed(c *qt.C, w http.ResponseWriter, r *http.Request, name, end string, l net.Listener) {
	last, err := strconv.Atoi(strings.TrimRight(end, "~!x"))
	c.Check(err, qt.IsNil)
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if !c.Check(err, qt.IsNil) {
		return
	}
	defer conn.Close()
	// The caller may have disconnected.
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Lupinkeel-Request-Id: 1\r\nX-Lupinkeel-Response-Stamp: %s\r\nConnection: close\r\n\r\n", name)
	for id := after + 1; id <= last; id++ {
		time.Sleep(5 * time.Millisecond)
		// It may have disconnected meanwhile, too.
		_, _ = io.WriteString(conn, unframedEvent(id))
	}
	switch {
	case strings.HasSuffix(end, "~"):
		time.Sleep(60 * time.Millisecond)
	case strings.HasSuffix(end, "!"):
		// What was sent must arrive before the reset.
		time.Sleep(30 * time.Millisecond)
		c.Check(conn.(*net.TCPConn).SetLinger(0), qt.IsNil)
	case strings.HasSuffix(end, "x"):
		c.Check(l.Close(), qt.IsNil)
	}
}

func TestClaims(t *testing.T) {
	script, err := os.ReadFile("testdata/end_claims.txt")
	qt.Assert(t, err, qt.IsNil)
	verdicts := map[string]error{"complete": errStreamEnd, "empty": errEmptyStream, "unproven": errUnframedEnd}
	for _, line := range lines(string(script)) {
		words := strings.Fields(line)
		given := words[1 : len(words)-1]
		has := func(word string) bool { return slices.Contains(given, word) }
		c := claim{
			framing: h1.Framing(words[0]), resumable: has("resumable"), resumed: has("resumed"), events: has("events"),
			checksEnd: has("checks"), repeated: has("repeated"),
		}
		qt.Check(t, c.judge(), qt.ErrorIs, verdicts[words[len(words)-1]], qt.Commentf("%s", line))
	}
}
