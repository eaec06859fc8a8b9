package h1

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// Response is the head of an answer. Its body must be closed; one that was
// read to its end before gives the connection back to the pool.
type Response struct {
	Status int
	Header http.Header
	Body   *Body
	// Framed tells that the answer's length is known or marked, so that an
	// end of the connection can't pass for the end of the body.
	Framed bool
}

// Body is the body of an answer.
type Body struct {
	c         *conn
	r         io.ReadCloser
	stop      func() bool
	keepAlive bool
	atEOF     bool
	failed    bool
	closed    bool
}

// Read reads from the body; io.EOF is its proper end.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.atEOF = true
	case err != nil:
		b.failed = true
	}
	return n, err
}

// SetPatience changes who is asked when nothing comes.
func (b *Body) SetPatience(p Patience) { b.c.stallPolicy = p }

// Buffered tells how many bytes have come that are not read yet.
func (b *Body) Buffered() int { return b.c.br.Buffered() }

// Discard closes the connection, which tells the upstream to stop.
func (b *Body) Discard() {
	if b.closed {
		return
	}
	b.closed = true
	b.stop()
	b.c.close()
}

// Close gives the connection back to the pool if the body was read to its
// end and nothing follows it, and closes it otherwise. Closing it once more
// does nothing: by then the connection may be another request's.
func (b *Body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	live := b.stop()
	if !live || !b.atEOF || b.failed || !b.keepAlive || b.c.br.Buffered() > 0 {
		b.c.close()
		return nil
	}
	b.c.stallPolicy = nil
	if err := b.c.nc.SetReadDeadline(time.Time{}); err != nil {
		b.c.close()
		return err
	}
	b.c.pool.put(b.c)
	return nil
}
