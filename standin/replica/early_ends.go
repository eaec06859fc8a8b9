package replica

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// EarlyEnds are the fractions of requests whose answers end early, have no length, or come twice.
type EarlyEnds struct {
	// Unframed is the fraction of answers without a length, which end with their connection.
	Unframed float64
	// Broken is the fraction that is broken off, after a silence of Silence at most. Of these, Reset is
	// the fraction whose connection is reset rather than closed, and Within the fraction that ends
	// within an event.
	Broken, Reset, Within float64
	Silence               time.Duration
	// Surplus is the fraction of answers that come once more in the place of the connection's next one.
	Surplus float64
	// InvalidStatus is the fraction answered with a status that no final response has.
	InvalidStatus float64
}

// invalidStatuses are the statuses of EarlyEnds.InvalidStatus.
var invalidStatuses = []int{0, http.StatusSwitchingProtocols, 600}

// ForgedText is the text of answers that are in the body of one with an invalid status.
const ForgedText = "forged"

// maxStatusLag is how long the connection of an answer with an invalid status stays open at most.
const maxStatusLag = 50 * time.Millisecond

// EndKind is how an answer ended.
type EndKind string

// The kinds of ends.
const (
	EndWhole         EndKind = "whole"
	EndClosed        EndKind = "closed"
	EndReset         EndKind = "reset"
	EndInvalidStatus EndKind = "invalid status"
	// EndAbandoned is the end of an answer whose connection the daemon closed.
	EndAbandoned EndKind = "abandoned"
	// In these cases a surplus answer was sent in the place of this one; after the latter the connection
	// was closed.
	EndSurplus       EndKind = "surplus"
	EndSurplusClosed EndKind = "surplus, closed"
)

// End is how an answer ended at an instance.
type End struct {
	Instance models.InstanceID
	Kind     EndKind
	// Unframed is set if the answer had no length.
	Unframed bool
	// LastEvent is the ID of a stream's last whole event.
	LastEvent int
	// At is when the instance ended the answer, or noticed that the daemon did.
	At time.Time
}

// SetEarlyEnds sets how all instances of the pool end their answers from now on.
func (p *Pool) SetEarlyEnds(e EarlyEnds) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.earlyEnds = e
}

// Ends returns how the answers to a request ended.
func (p *Pool) Ends(id models.RequestID) []End {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]End(nil), p.ends[id]...)
}

// EndCounts returns how many answers ended in each way.
func (p *Pool) EndCounts() map[EndKind]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.endCounts)
}

func (p *Pool) noteEnd(id models.RequestID, end End) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ends[id] = append(p.ends[id], end)
	p.endCounts[end.Kind]++
}

// answerEnd is how one answer is to end.
type answerEnd struct {
	i        *Instance
	id       models.RequestID
	conn     *answerConn
	unframed bool
	// broken is set if the answer is broken off after this many events.
	broken        bool
	after         int
	reset, within bool
	silence       time.Duration
	surplus       bool
	// invalidStatus is set if the answer has this status.
	invalidStatus bool
	status        int
}

// drawEnd draws how the answer to a request is to end.
func (i *Instance) drawEnd(r *http.Request, id models.RequestID) *answerEnd {
	i.pool.mu.Lock()
	e := i.pool.earlyEnds
	i.pool.mu.Unlock()
	conn, _ := r.Context().Value(answerConnKey{}).(*answerConn)
	return &answerEnd{
		i: i, id: id, conn: conn, unframed: rand.Float64() < e.Unframed,
		broken: rand.Float64() < e.Broken, after: int(rand.Float64() * float64(i.pool.profile.Events)), reset: rand.Float64() < e.Reset, within: rand.Float64() < e.Within,
		silence: time.Duration(rand.Float64() * float64(e.Silence)), surplus: rand.Float64() < e.Surplus,
		invalidStatus: rand.Float64() < e.InvalidStatus, status: invalidStatuses[rand.IntN(len(invalidStatuses))],
	}
}

// frame makes the answer one without a length, if it is to be one.
func (e *answerEnd) frame(w http.ResponseWriter) {
	if e.unframed {
		// net/http sends neither this header nor chunks then.
		w.Header().Set("Transfer-Encoding", "identity")
	}
}

// breakOff ends the answer after a silence.
func (e *answerEnd) breakOff(ctx context.Context, lastEvent int) {
	select {
	case <-ctx.Done():
		e.cut(lastEvent)
	case <-time.After(e.silence):
		if e.reset && e.conn.linger() {
			e.note(EndReset, lastEvent)
		} else {
			e.note(EndClosed, lastEvent)
		}
	}
	panic(http.ErrAbortHandler)
}

func (e *answerEnd) note(kind EndKind, lastEvent int) {
	e.i.pool.noteEnd(e.id, End{Instance: e.i.ID, Kind: kind, Unframed: e.unframed, LastEvent: lastEvent, At: time.Now()})
}

// cut records that the connection was closed, by the daemon unless the instance has stopped.
func (e *answerEnd) cut(lastEvent int) {
	e.i.pool.mu.Lock()
	stopped := e.i.hung
	e.i.pool.mu.Unlock()
	if stopped {
		e.note(EndClosed, lastEvent)
	} else {
		e.note(EndAbandoned, lastEvent)
	}
}

// whole records that the whole answer was sent, which may come once more.
func (e *answerEnd) whole(body string, lastEvent int) {
	e.i.awaitVoice()
	e.note(EndWhole, lastEvent)
	if e.surplus && !e.unframed && e.conn != nil {
		e.conn.setSurplus(surplusAnswer(e.id, e.i.ID, body))
	}
}

// answerHead returns the head of an answer without its framing.
func answerHead(status int, id models.RequestID, instance models.InstanceID) string {
	return fmt.Sprintf("HTTP/1.1 %03d %s\r\n%s: %s\r\n%s: %s\r\n", status, http.StatusText(status), headerRequestID, id, headerStamp, instance)
}

// surplusAnswer returns a whole answer with a random framing, and whether the connection is closed after it.
func surplusAnswer(id models.RequestID, instance models.InstanceID, body string) (text string, closes bool) {
	head := answerHead(http.StatusOK, id, instance)
	if closes = rand.IntN(2) == 0; closes {
		head += "Connection: close\r\n"
	}
	switch rand.IntN(3) {
	case 0:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body), closes
	case 1:
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body), closes
	default:
		return head + "\r\n" + body, true
	}
}

// answerInvalidStatus answers with a status that no final response has, if that was drawn. Half of the
// bodies are a whole answer to the same request.
func (e *answerEnd) answerInvalidStatus(w http.ResponseWriter, body string) bool {
	if !e.invalidStatus {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	inner := ""
	if rand.IntN(2) == 0 {
		inner = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", answerHead(http.StatusOK, e.id, e.i.ID), len(body), body)
	}
	e.note(EndInvalidStatus, 0)
	// The client may have disconnected.
	_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", answerHead(e.status, e.id, e.i.ID), len(inner), inner)
	time.Sleep(time.Duration(rand.Int64N(int64(maxStatusLag))))
	return true
}

// events returns the events of a stream from the given one on.
func (p *Pool) events(next int, text string) string {
	var out strings.Builder
	for ; next <= p.profile.Events; next++ {
		out.WriteString(eventText(next, text))
	}
	return out.String()
}

func eventText(id int, text string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, text) }

// answerConnKey is the key of a request's answerConn in its context.
type answerConnKey struct{}

// withAnswerConn adds a connection to the contexts of its requests.
func withAnswerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, answerConnKey{}, c)
}

// answerListener accepts answerConns.
type answerListener struct {
	net.Listener
	i *Instance
}

func (l answerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &answerConn{Conn: c, i: l.i}, nil
}

// answerConn is a connection to an instance, on which a surplus answer may be sent in the place of the
// next one.
type answerConn struct {
	net.Conn
	i *Instance

	mu sync.Mutex
	// surplus is the surplus answer, due once the next request has arrived; the connection is closed after
	// it if closes.
	surplus     string
	closes, due bool
	// request is the last request.
	request models.RequestID
}

// linger makes the connection's end a reset.
func (c *answerConn) linger() bool {
	if c == nil {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	return ok && tcp.SetLinger(0) == nil
}

func (c *answerConn) setSurplus(text string, closes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.surplus, c.closes, c.due = text, closes, false
}

func (c *answerConn) setRequest(id models.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = id
}

// Read notes that a request has arrived: until it has received all of an answer, a daemon sends none.
func (c *answerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.due = c.due || n > 0 && c.surplus != ""
	return n, err
}

func (c *answerConn) Write(p []byte) (int, error) {
	c.i.awaitVoice()
	c.mu.Lock()
	text, closes, request := c.surplus, c.closes, c.request
	if !c.due {
		text = ""
	} else {
		c.surplus, c.due = "", false
	}
	c.mu.Unlock()
	if text == "" {
		return c.Conn.Write(p)
	}
	end := End{Instance: c.i.ID, Kind: EndSurplus, At: time.Now()}
	if closes {
		end.Kind = EndSurplusClosed
	}
	c.i.pool.noteEnd(request, end)
	if _, err := c.Conn.Write([]byte(text)); err != nil {
		return 0, err
	}
	if closes {
		return 0, errors.Join(net.ErrClosed, c.Close())
	}
	return c.Conn.Write(p)
}

// Close waits for the end of a silence, in which the instance sends no end of its connections either.
func (c *answerConn) Close() error {
	c.i.awaitVoice()
	return c.Conn.Close()
}
