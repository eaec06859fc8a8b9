package entrance

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/buffers"
)

// fieldBytes is what a field of a head takes in memory beside its text: strings for name and value, a slice, a slot
// of a map, and the same again in the request that is passed on.
const fieldBytes = 256

// rateTime is the time over which the rate is measured at which a request is received. A sender that stops is slow soon,
// however much it sent before.
const rateTime = 500 * time.Millisecond

// errNoMemory ends the reading of a head for which there is no memory.
var errNoMemory = errors.New("the head of the request does not fit into the memory for requests")

// phase is the part of a request that is received next on a connection.
type phase int

const (
	phaseHead phase = iota
	phaseBody
	// phaseReceived: the whole request was received.
	phaseReceived
)

// receiver follows the requests that are received on a connection, and holds memory for their heads.
type receiver struct {
	budget *buffers.Budget
	// refused is set once a part of a head was dropped for want of memory. Only reads of the connection use it.
	refused error

	mu    sync.Mutex
	phase phase
	// closed is set once the listener has closed the connection: what was read from it can't be answered.
	closed bool
	// ahead is set if the request, or a part of the next one, was received before the response to the one before it
	// was sent.
	ahead bool
	// inLine is set if a part of a line of the head was received.
	inLine bool
	// held is the number of bytes that are held for the head.
	held int
	// received counts the bytes of the request that were read after the last one, since is when the first byte came.
	received int
	since    time.Time
	// recent is received with weights that decay with rateTime, as of lastAt, when something was received last.
	recent float64
	lastAt time.Time
}

// note takes note of bytes that were received. It returns errNoMemory if what they take in memory can't be held, and
// sets refused.
func (r *receiver) note(read []byte, now time.Time) error {
	n, holds := r.count(read, now)
	if n == 0 || r.budget == nil {
		return nil
	}
	if err := r.hold(n, holds); err != nil {
		// net/http sends no response after an error of this type, unless it comes in the middle of a line.
		r.refused = &net.OpError{Op: "read", Net: "tcp", Err: err}
		return r.refused
	}
	return nil
}

// begin records that a request is being received. One whose head was read with the request before it was sent ahead.
func (r *receiver) begin(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since.IsZero() {
		r.since, r.ahead = now, true
	}
}

// count counts bytes that were received, and returns how many bytes must be held for the part of the head that is
// among them, and how many are held for it already.
func (r *receiver) count(read []byte, now time.Time) (n, holds int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(read) == 0 || r.phase == phaseReceived {
		r.ahead = r.ahead || len(read) > 0
		return 0, 0
	}
	if r.since.IsZero() {
		r.since = now
	}
	r.received += len(read)
	r.recent, r.lastAt = r.recentBytes(now)+float64(len(read)), now
	for r.phase == phaseHead && len(read) > 0 {
		line, rest, complete := bytes.Cut(read, []byte("\n"))
		isEmpty := !r.inLine && (len(line) == 0 || string(line) == "\r")
		r.inLine = !complete && !isEmpty
		n += len(read) - len(rest)
		if complete {
			n += fieldBytes
		}
		if complete && isEmpty {
			r.phase = phaseBody
		}
		read = rest
	}
	return n, r.held
}

// setPhase sets which part of the request is received next. It reports whether the request can be answered.
func (r *receiver) setPhase(p phase) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = p
	return !r.closed
}

// abandon records that the listener closes the connection, unless the whole request was received. It reports whether
// the listener may close it.
func (r *receiver) abandon() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = r.closed || r.phase != phaseReceived
	return r.closed
}

// reset prepares for the next request, and releases what was held for the last one.
func (r *receiver) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budget != nil {
		r.budget.Release(r.held)
	}
	r.phase, r.ahead, r.inLine, r.held, r.received, r.since = phaseHead, false, false, 0, 0, time.Time{}
	r.recent, r.lastAt = 0, time.Time{}
}

// recentBytes returns recent as of now. The receiver must be locked.
func (r *receiver) recentBytes(now time.Time) float64 {
	if r.recent == 0 {
		return 0
	}
	return r.recent * math.Exp(-now.Sub(r.lastAt).Seconds()/rateTime.Seconds())
}

// rate returns how many bytes a second are being received of a request that is not complete, and for how long it has
// been received.
func (r *receiver) rate(now time.Time) (bytesPerSecond float64, age time.Duration, receives bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since.IsZero() || r.phase == phaseReceived {
		return 0, 0, false
	}
	return r.recentBytes(now) / rateTime.Seconds(), now.Sub(r.since), true
}

// holds returns about how many bytes are held for the request.
func (r *receiver) holds() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held + r.received
}

// isAhead reports whether the next request has begun to arrive before the response to the last one was sent.
func (r *receiver) isAhead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ahead
}

// connKey is the key of a callerConn in the contexts of its requests.
type connKey struct{}

// ConnContext must be called by the server for each connection.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// HeadReceived tells the listener that the head of a request was received. Otherwise it would take the body for the
// head if both came with an earlier request. It reports whether the request can be answered: the listener may have closed
// its connection, and does so if there is no memory for what came with an earlier request.
func HeadReceived(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok {
		return true
	}
	if !c.receiver.setPhase(phaseBody) {
		return false
	}
	if c.receiver.holdFields(r.Header) == nil {
		return true
	}
	// Before a response the server would wait for the body, and hold the head meanwhile.
	if err := c.Conn.Close(); err != nil {
		c.listener.log.Debug().Err(err).Msg("connection-not-closed")
	}
	return false
}

// holdFields holds memory for those fields of a head that were not counted, since they came with an earlier request.
func (r *receiver) holdFields(fields http.Header) error {
	size := 0
	for name, values := range fields {
		for _, value := range values {
			size += len(name) + len(value) + fieldBytes
		}
	}
	r.mu.Lock()
	holds := r.held
	r.mu.Unlock()
	if size <= holds || r.budget == nil {
		return nil
	}
	return r.hold(size-holds, holds)
}

// hold holds memory for n bytes of a head that holds some already.
func (r *receiver) hold(n, holds int) error {
	// The budget may ask all receivers how fast they are.
	if err := r.budget.ReserveHead(n, holds); err != nil {
		return errors.Join(errNoMemory, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held += n
	return nil
}

// Received tells the listener that the whole request was received. From then on the listener doesn't close its
// connection for being slow. It reports whether the request can be answered, as HeadReceived does.
func Received(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	return !ok || c.receiver.setPhase(phaseReceived)
}

// Handler returns a handler that tells the listener when the heads and bodies of requests were received, and passes the
// requests on that can be answered.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !HeadReceived(r) {
			panic(http.ErrAbortHandler)
		}
		if r.Body == http.NoBody {
			Received(r.Context())
		} else {
			r.Body = &followedBody{ReadCloser: r.Body, ctx: r.Context()}
		}
		next.ServeHTTP(w, r)
	})
}

// followedBody is a body whose end the listener is told of.
type followedBody struct {
	io.ReadCloser
	ctx context.Context
}

// Read reads from the body.
func (b *followedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !Received(b.ctx) {
		return n, net.ErrClosed
	}
	return n, err
}

// MustClose reports whether the connection of the context's request should be closed after the response: its caller
// sends requests ahead, and the listener is closed because of requests in progress.
func MustClose(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	return ok && c.receiver.isAhead() && c.listener.isFull()
}
