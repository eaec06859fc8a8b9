package h1

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEndlessHead guards against heads of responses without end, with or without other responses before them,
// which fill the memory or take time without end.
func TestEndlessHead(t *testing.T) {
	for name, test := range map[string]struct {
		first, repeated string
		want            error
	}{
		"status line": {"", "a", ErrHeadTooLong},
		"interim":     {"", "HTTP/1.1 103 Early Hints\r\n\r\n", ErrHeadTooLong},
		"field":       {"HTTP/1.1 200 OK\r\nA: ", "a", ErrHeadTooLong},
		"fields":      {"HTTP/1.1 200 OK\r\n", "A: a\r\n", ErrHeadTooLong},
		"folded":      {"HTTP/1.1 200 OK\r\nA: a\r\n", " a\r\n", ErrHeadTooLong},
		"status":      {"HTTP/1.1 000 a\r\n\r\n", "a", ErrInvalidStatus},
		"discarded":   {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("a", 100000), ErrNoResponse},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, sent, err := doOnce(t, io.MultiReader(strings.NewReader(test.first), io.LimitReader(&repeatingReader{text: test.repeated}, 64<<20)))
			c.Assert(err, qt.ErrorIs, test.want)
			c.Assert(err, qt.ErrorIs, ErrNoResponse)
			c.Assert(sent < 32<<20, qt.IsTrue, qt.Commentf("the connection must be closed; %d bytes were sent", sent))
		})
	}
}

// TestManyFields guards against heads that are short enough, and take many times their length in memory because
// their fields are short. The lines of a body are not counted.
func TestManyFields(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		want     error
	}{
		"few":       {"HTTP/1.1 200 OK\r\nId: 1\r\n" + strings.Repeat("A: a\r\n", 200) + "\r\n", nil},
		"many":      {"HTTP/1.1 200 OK\r\nId: 1\r\n" + strings.Repeat("A:\n", 1000) + "\r\n", ErrHeadTooLong},
		"discarded": {"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("\n", 1000) + strings.Repeat("a\n", 500) + "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", nil},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := doOnce(t, strings.NewReader(test.response))
			qt.Assert(t, err, qt.ErrorIs, test.want)
		})
	}
}

// doOnce sends a request with the ID 1 to a server that answers with what it reads from a reader. It also
// returns how many bytes the server sent.
func doOnce(t *testing.T, answer io.Reader) (*Response, int64, error) {
	c := qt.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	sent := make(chan int64, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		n, _ := io.Copy(conn, answer)
		sent <- n
	}()
	pool := NewPool(Direct(time.Second), nil)
	resp, err := pool.Do(t.Context(), netip.MustParseAddrPort(l.Addr().String()), Request{
		Method: http.MethodGet, Target: "/", Host: "h", Matches: func(h http.Header) bool { return h.Get("Id") == "1" },
	})
	return resp, <-sent, err
}

// repeatingReader reads a text over and over.
type repeatingReader struct {
	text string
	rest strings.Reader
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	if r.rest.Len() == 0 {
		r.rest.Reset(strings.Repeat(r.text, 1+4096/len(r.text)))
	}
	return r.rest.Read(p)
}
