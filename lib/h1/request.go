package h1

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// Request is one request as it goes onto the wire.
type Request struct {
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Freshest is the longest time that a connection may have rested to be
	// used again; 0 asks for a new connection.
	Freshest time.Duration
	// Mine, if set, tells an answer's head from that of another request,
	// which is read to its end and dropped.
	Mine func(http.Header) bool
	// Ready, if set, is asked once there is a connection; an error keeps the request from
	// being sent.
	Ready func() error
	// Patience, if set, tells how much longer to wait for the next bytes when
	// none came for so long; 0 ends the request.
	Patience Patience
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
