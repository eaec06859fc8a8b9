package entrance

import (
	"container/list"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// arrival is whether a part of the next request has arrived on a connection.
type arrival = int32

const (
	// arrivalNone: nothing was read from the connection.
	arrivalNone arrival = iota
	// arrivalBegun: a part of a request was read, so that its caller awaits an answer.
	arrivalBegun
	// arrivalClosing: the connection is to be closed unless a request turns out to have arrived.
	arrivalClosing
	// arrivalClosed: the connection was closed before anything was read, and what is read later is dropped.
	arrivalClosed
)

// callerConn is a connection of a caller. The listener's lock guards its state.
type callerConn struct {
	net.Conn
	listener   *Listener
	arrival    atomic.Int32
	receiver   receiver
	acceptedAt time.Time
	// idleSince is when the last response was sent; zero before that.
	idleSince time.Time
	active    bool
	// counted is set while the connection counts as open.
	counted bool
	// in is the list that holds the connection at place; nil if none does.
	in    *list.List
	place *list.Element
}

// Read reads from the connection, and holds memory for the heads of requests. Nothing is read from one that was
// closed before a request began, since it could not be answered.
func (c *callerConn) Read(p []byte) (int, error) {
	if err := c.receiver.refused; err != nil {
		// net/http reads on after an error in the middle of a line.
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.begin() {
		return 0, net.ErrClosed
	}
	if full := c.receiver.note(p[:n], time.Now()); full != nil {
		return 0, full
	}
	return n, err
}

// begin records that a part of a request was read. It reports whether the request may be served.
func (c *callerConn) begin() bool {
	for {
		was := c.arrival.Load()
		if was == arrivalClosed {
			return false
		}
		if c.arrival.CompareAndSwap(was, arrivalBegun) {
			return true
		}
	}
}

// closeUnused closes the connection unless a part of a request has arrived on it.
func (c *callerConn) closeUnused() error {
	if !c.arrival.CompareAndSwap(arrivalNone, arrivalClosing) {
		return nil
	}
	arrived, err := c.hasArrived()
	if err == nil && arrived {
		c.arrival.CompareAndSwap(arrivalClosing, arrivalNone)
		return nil
	}
	if !c.arrival.CompareAndSwap(arrivalClosing, arrivalClosed) {
		return nil
	}
	// A request that came with an earlier one was read long ago.
	c.receiver.abandon()
	return errors.Join(err, c.Conn.Close())
}

// hasArrived reports whether bytes have arrived that were not read.
func (c *callerConn) hasArrived() (bool, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false, err
	}
	n := 0
	// Unlike Read, Control doesn't wait for the server's pending read.
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		// An error means that nothing has arrived.
		n, _, _ = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n > 0, err
}

// SetLinger sets what happens to unsent bytes when the connection is closed; see net.TCPConn.
func (c *callerConn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

// moveTo moves the connection to the end of a list, or out of all if that is nil.
func (c *callerConn) moveTo(to *list.List) {
	if c.in != nil {
		c.in.Remove(c.place)
	}
	if c.in = to; to != nil {
		c.place = to.PushBack(c)
	}
}
