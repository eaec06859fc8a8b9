package entrance

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/lib/buffers"
)

func TestHeadsAreCounted(t *testing.T) {
	script, err := os.ReadFile("testdata/heads.txt")
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(script)) {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		var fields, text int
		_, err := fmt.Sscanf(words[len(words)-1], "held=%d+%d", &fields, &text)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", line))
		budget := buffers.New(1<<20, metrics.NewSet())
		r := receiver{budget: budget}
		for _, word := range words[:len(words)-1] {
			switch word {
			case "|head":
				r.setPhase(phaseBody)
			case "|done":
				r.setPhase(phaseReceived)
			case "|idle":
				r.reset()
			default:
				read := strings.NewReplacer(`\r`, "\r", `\n`, "\n", "_", " ").Replace(word)
				qt.Assert(t, r.note([]byte(read), time.Unix(1, 0)), qt.IsNil)
			}
		}
		qt.Check(t, budget.Held(), qt.Equals, int64(fields*fieldBytes+text), qt.Commentf("%s", line))
	}
}

// TestShortFieldsFillMemory guards against heads of very short fields, which take far more memory than their length.
func TestShortFieldsFillMemory(t *testing.T) {
	const limit, headLen, heads = 8 << 20, 60 << 10, 100
	budget := buffers.New(limit, metrics.NewSet())
	head := []byte("GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", headLen/4))
	ended := 0
	for range heads {
		r := receiver{budget: budget}
		if r.note(head, time.Unix(1, 0)) != nil {
			ended++
		}
		small := receiver{budget: budget}
		qt.Assert(t, small.note([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), time.Unix(1, 0)), qt.IsNil)
		small.reset()
	}
	qt.Assert(t, ended > heads*9/10, qt.IsTrue, qt.Commentf("%d", ended))
	qt.Assert(t, budget.Held() <= limit, qt.IsTrue)
}

// TestRefusedHeadGoesOn guards against a head of which a part was dropped for want of memory, and the rest is read
// once there is some: net/http reads again after an error that comes in the middle of a line.
func TestRefusedHeadGoesOn(t *testing.T) {
	for name, wrap := range map[string]func(net.Conn, *buffers.Budget) net.Conn{
		"caller": func(conn net.Conn, b *buffers.Budget) net.Conn {
			return &callerConn{Conn: conn, receiver: receiver{budget: b}}
		},
		"guarded": func(conn net.Conn, b *buffers.Budget) net.Conn {
			return &guardedConn{Conn: conn, receiver: receiver{budget: b}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			const limit = 4 << 10
			budget := buffers.New(limit, metrics.NewSet())
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				for _, part := range []string{"GET / HTTP/1.1\r\nX-A: b", "c\r\nX-D:", "e\r\nHost: h\r\n\r\n"} {
					if _, err := far.Write([]byte(part)); err != nil {
						return
					}
				}
			}()
			defer near.Close()
			conn := wrap(near, budget)
			_, err := conn.Read(make([]byte, 100))
			c.Assert(err, qt.IsNil)
			held := limit - int(budget.Held())
			c.Assert(budget.ReserveHead(held, 0), qt.IsNil)
			_, err = conn.Read(make([]byte, 100))
			c.Assert(err, qt.ErrorIs, errNoMemory)
			budget.Release(held)
			_, err = conn.Read(make([]byte, 100))
			c.Assert(err, qt.ErrorIs, errNoMemory)
		})
	}
}
