package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// slowCallers is the number of callers whose requests come slowly during a planned stop.
	slowCallers = 60
	// latestHead and latestBody are when the last of their heads and bodies are sent, after the stop
	// began: before the listener closes, and before the end of the stop.
	latestHead = 1200 * time.Millisecond
	latestBody = 2 * time.Second
	// slowPlainTime is how long instances take for these requests.
	slowPlainTime = 400 * time.Millisecond
)

// TestPlannedStopLosesSlowRequests guards against requests that a stopping daemon passes on, and whose
// connections the end of the process closes without an answer.
func TestPlannedStopLosesSlowRequests(t *testing.T) {
	s := startSite(t, binary(t), t.TempDir())
	s.waitServing()
	s.pool.SetPlainTime(slowPlainTime)
	d, r := s.daemons[0], rand.New(rand.NewPCG(85, 1))
	began := time.Now().Add(100 * time.Millisecond)
	replies := make([]reply, slowCallers)
	var calling sync.WaitGroup
	for n := range replies {
		replies[n].request = newRequest([]kind{kindNonIdempotent, kindIdempotent}[n%2], "")
		head := between(r, 0, latestHead)
		body := between(r, head, latestBody)
		calling.Go(func() { replies[n].status = sendSlowly(d.addr, replies[n].request, began.Add(head), began.Add(body)) })
	}
	time.Sleep(time.Until(began))
	qt.Check(t, d.stop(), qt.IsNil)
	calling.Wait()
	byStatus, lost := map[int]int{}, []string{}
	for _, reply := range replies {
		byStatus[reply.status]++
		runs := s.pool.RunCount(models.RequestID(reply.id))
		switch {
		case runs > 0 && reply.status == 0:
			lost = append(lost, fmt.Sprintf("%s %s ran and got no answer", reply.kind, reply.id))
		case runs > 0 && reply.status == http.StatusServiceUnavailable && reply.kind == kindNonIdempotent:
			lost = append(lost, reply.id+" was refused as not run, but ran")
		}
	}
	t.Logf("answers by status, 0 for none: %v", byStatus)
	qt.Check(t, lost, qt.HasLen, 0, qt.Commentf("%s", strings.Join(lost, "\n")))
	qt.Check(t, byStatus[http.StatusOK] > 0, qt.IsTrue)
	qt.Check(t, byStatus[http.StatusServiceUnavailable]+byStatus[http.StatusGatewayTimeout] > 0, qt.IsTrue, qt.Commentf("no request came late: the test is inconclusive"))
}

// sendSlowly sends the head and the end of the body of a request at two times, and returns the status of
// the response, 0 if there is none.
func sendSlowly(addr string, r request, head, body time.Time) int {
	time.Sleep(time.Until(head))
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: %s\r\nX-Lupinkeel-Request-Id: %s\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n%s",
		r.kind, host, r.id, firstKey, len(r.body), r.body[1:])
	if err != nil {
		return 0
	}
	time.AfterFunc(time.Until(body), func() {
		// The daemon may have rejected the request meanwhile.
		_, _ = conn.Write([]byte(r.body[:1]))
	})
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// TestPausedStopLosesRequests guards against a daemon that is paused at the end of its planned stop, and closes
// its connections before it has answered the requests on them.
func TestPausedStopLosesRequests(t *testing.T) {
	const (
		passedOn = time.Second
		pausedAt = 2150 * time.Millisecond
		pause    = 600 * time.Millisecond
	)
	s := startSite(t, binary(t), t.TempDir())
	s.waitServing()
	s.pool.SetPlainTime(time.Minute)
	d, began := s.daemons[0], time.Now().Add(100*time.Millisecond)
	statuses := make([]int, 10)
	var calling sync.WaitGroup
	for n := range statuses {
		r := newRequest([]kind{kindNonIdempotent, kindIdempotent}[n%2], "")
		calling.Go(func() { statuses[n] = sendSlowly(d.addr, r, began.Add(passedOn), began.Add(passedOn)) })
	}
	time.Sleep(time.Until(began))
	time.AfterFunc(pausedAt, func() { d.signal(syscall.SIGSTOP) })
	time.AfterFunc(pausedAt+pause, func() { d.signal(syscall.SIGCONT) })
	qt.Check(t, d.stop(), qt.IsNil)
	calling.Wait()
	for _, status := range statuses {
		qt.Check(t, status, qt.Equals, http.StatusGatewayTimeout)
	}
}
