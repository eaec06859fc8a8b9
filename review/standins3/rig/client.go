package rig

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var ids atomic.Int64

// Reply is what a client got for a request.
type Reply struct {
	ID     string
	Status int
	Header http.Header
	Body   []byte
	// Complete is set if the answer ended properly.
	Complete bool
	// Events are the ids of the events of a stream.
	Events []int
	Err    error
}

// Client is a client with one connection, which is kept from request to request.
type Client struct {
	site *Site
	addr string
	conn net.Conn
	br   *bufio.Reader
}

// NewClient returns a client of a daemon.
func (s *Site) NewClient(d *Daemon) *Client { return &Client{site: s, addr: d.Front} }

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Send sends a request and reads its answer. A last of 0 or more is sent as Last-Event-Id.
func (c *Client) Send(method, path string, deadline time.Duration, header http.Header, body []byte) Reply {
	r := Reply{ID: fmt.Sprintf("%016x", ids.Add(1))}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.addr, time.Second)
		if err != nil {
			r.Err = err
			c.site.Record.Note("unsent", r.ID, "%v", err)
			return r
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Lupinkeel-Request-Id: %s\r\nX-Lupinkeel-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n", method, path, Host, r.ID, deadline.Milliseconds(), Key)
	_ = header.Write(&b)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	c.site.Record.Note("sent", r.ID, "%s %s to=%s", method, path, c.addr)
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		r.Err = err
	} else {
		c.read(&r, method)
	}
	if r.Err != nil || !r.Complete || strings.EqualFold(r.Header.Get("Connection"), "close") {
		c.Close()
	}
	c.site.Record.Note("answered", r.ID, "status=%d stamp=%q complete=%t events=%d err=%v", r.Status, r.Header.Get("X-Lupinkeel-Response-Stamp"), r.Complete, len(r.Events), r.Err)
	return r
}

func (c *Client) read(r *Reply, method string) {
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		r.Err = err
		return
	}
	r.Status, r.Header = resp.StatusCode, resp.Header
	if resp.Close {
		r.Header.Set("Connection", "close")
	}
	r.Body, r.Err = io.ReadAll(resp.Body)
	r.Complete = r.Err == nil
	for line := range strings.Lines(string(r.Body)) {
		if value, found := strings.CutPrefix(strings.TrimSpace(line), "id:"); found {
			if id, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
				r.Events = append(r.Events, id)
			}
		}
	}
}

// Stream sends a request for a stream of a model.
func (c *Client) Stream(model string) Reply {
	id := ids.Load()
	header := http.Header{
		"X-Lupinkeel-Model": {model}, "X-Lupinkeel-Token-Count": {"400,100"}, "X-Lupinkeel-Prefix-Hash": {fmt.Sprintf("5c1e07a2:40,%08x:360", id)},
	}
	return c.Send(http.MethodPost, "/summary/x", 8*time.Second, header, []byte("prompt"))
}

// CheckStream records a break of ORDER: a stream that ends as complete before its last event, or in
// which events are missing or come twice.
func (s *Site) CheckStream(r Reply) {
	for n, id := range r.Events {
		if id != n+1 {
			s.Record.Broken("ORDER: in the stream of request %s event %d comes in place %d", r.ID, id, n+1)
			return
		}
	}
	if r.Status == http.StatusOK && r.Complete && len(r.Events) < s.Events {
		s.Record.Broken("ORDER: the stream of request %s ends as complete after event %d of %d", r.ID, len(r.Events), s.Events)
	}
}
