package h1

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// Request is one request.
type Request struct {
	Method string
	// Target is the path and query, as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdleAge is the maximum time for which a reused connection may have been idle; 0 requires a
	// new connection.
	MaxIdleAge time.Duration
	// Matches, if set, reports whether a response header belongs to this request. A response to
	// another request is read to its end and discarded.
	Matches func(http.Header) bool
	// BeforeSend, if set, is called once there is a connection. If it returns an error the request is
	// not sent.
	BeforeSend func() error
	// StallPolicy, if set, decides how long to wait for the next bytes of the response, given how
	// long none have arrived; 0 aborts the request.
	StallPolicy StallPolicy
}

func (r Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}
