package h1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"
)

// TestScripts runs the scripts in testdata. The file "server" holds the server's steps over all
// connections:
//
//	respond TEXT  reads a request and writes a response; \r\n stands for a line end
//	send TEXT     writes without reading a request
//	read          reads a request
//	wait DURATION waits
//	close, reset  ends the connection; the next step accepts a new one
//
// The file "client" holds the client's steps, and "want" one result line per request and the
// number of connections:
//
//	get ID [max-idle-age DURATION] [stall-timeout DURATION]
//	wait DURATION
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	qt.Assert(t, err, qt.IsNil)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) { runScript(t, file) })
	}
}

func runScript(t *testing.T, file string) {
	c := qt.New(t)
	archive, err := txtar.ParseFile(file)
	c.Assert(err, qt.IsNil)
	parts := map[string]string{}
	for _, f := range archive.Files {
		parts[f.Name] = string(f.Data)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	serverDone := make(chan error, 1)
	go func() { serverDone <- serveSteps(l, parseSteps(parts["server"])) }()
	addr := netip.MustParseAddrPort(l.Addr().String())
	dialed := 0
	pool := NewPool(Direct(time.Second), func(netip.AddrPort) Meter { dialed++; return nil })
	var got []string
	for _, step := range parseSteps(parts["client"]) {
		if line := runClientStep(pool, addr, step); line != "" {
			got = append(got, line)
		}
	}
	got = append(got, fmt.Sprintf("connections %d", dialed))
	c.Assert(got, qt.DeepEquals, parseSteps(parts["want"]))
	l.Close()
	c.Assert(<-serverDone, qt.IsNil)
}

func parseSteps(text string) []string {
	var out []string
	for line := range strings.SplitSeq(text, "\n") {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			out = append(out, line)
		}
	}
	return out
}

func serveSteps(l net.Listener, steps []string) error {
	var conn *net.TCPConn
	var r *bufio.Reader
	for _, step := range steps {
		if conn == nil {
			accepted, err := l.Accept()
			if err != nil {
				return nil
			}
			conn = accepted.(*net.TCPConn)
			defer conn.Close()
			r = bufio.NewReader(conn)
		}
		verb, text, _ := strings.Cut(step, " ")
		text = strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(text)
		var err error
		switch verb {
		case "respond":
			if _, err = http.ReadRequest(r); err == nil {
				_, err = io.WriteString(conn, text)
			}
		case "read":
			_, err = http.ReadRequest(r)
		case "send":
			_, err = io.WriteString(conn, text)
		case "wait":
			var d time.Duration
			d, err = time.ParseDuration(text)
			time.Sleep(d)
		case "close":
			err = conn.Close()
			conn = nil
		case "reset":
			err = errors.Join(conn.SetLinger(0), conn.Close())
			conn = nil
		default:
			err = fmt.Errorf("no step %q", verb)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", step, err)
		}
	}
	return nil
}

func runClientStep(pool *Pool, addr netip.AddrPort, step string) string {
	words := strings.Fields(step)
	if words[0] == "wait" {
		d, err := time.ParseDuration(words[1])
		time.Sleep(d)
		return errorNames(err)
	}
	id := words[1]
	r := Request{
		Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {id}}, MaxIdleAge: time.Minute,
		Matches: func(h http.Header) bool { return h.Get("Id") == id },
	}
	for i := 2; i+1 < len(words); i += 2 {
		d, err := time.ParseDuration(words[i+1])
		if err != nil {
			return err.Error()
		}
		if words[i] == "max-idle-age" {
			r.MaxIdleAge = d
		} else {
			r.StallPolicy = func(silence time.Duration) time.Duration { return d - silence }
		}
	}
	resp, err := pool.Do(context.Background(), addr, r)
	if err != nil {
		return errorNames(err)
	}
	body, err := io.ReadAll(resp.Body)
	if closed := resp.Body.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return errorNames(err)
	}
	return fmt.Sprintf("%d %s framing=%s", resp.Status, body, resp.Framing)
}

// errorNames returns the names of the sentinel errors that an error wraps.
func errorNames(err error) string {
	if err == nil {
		return ""
	}
	names := ""
	for name, sentinel := range map[string]error{"not-sent": ErrNotSent} {
		if errors.Is(err, sentinel) {
			names += name + " "
		}
	}
	for _, s := range []struct {
		name string
		err  error
	}{{"no-answer", ErrNoResponse}, {"other-request", ErrOtherRequest}, {"invalid-status", ErrInvalidStatus}, {"stalled", ErrStalled}, {"cut", io.ErrUnexpectedEOF}} {
		if errors.Is(err, s.err) {
			names += s.name + " "
		}
	}
	if names == "" {
		return "error"
	}
	return strings.TrimSpace(names)
}
