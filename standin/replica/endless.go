package replica

import (
	"bytes"
	"net/http"
	"strings"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// endlessPrefix begins the body of a request that is answered without end; its kind follows.
	endlessPrefix = "endless "
	// endlessStep and endlessInterval set the rate of such an answer, 2 MB per second.
	endlessStep     = 64 << 10
	endlessInterval = 32 * time.Millisecond
)

// EndlessAnswer is what an answer has without end.
type EndlessAnswer string

// The kinds of answers without end.
const (
	EndlessHead    EndlessAnswer = "head"
	EndlessInterim EndlessAnswer = "interim"
	EndlessChunk   EndlessAnswer = "chunk"
	EndlessTrailer EndlessAnswer = "trailer"
	EndlessEvent   EndlessAnswer = "event"
	EndlessBody    EndlessAnswer = "body"
	EndlessSurplus EndlessAnswer = "surplus"
	EndlessFields  EndlessAnswer = "fields"
	EndlessFailure EndlessAnswer = "failure"
)

// EndlessAnswers returns all kinds but EndlessFields and EndlessFailure, which are other forms of a head and a
// body.
func EndlessAnswers() []EndlessAnswer {
	return []EndlessAnswer{EndlessHead, EndlessInterim, EndlessChunk, EndlessTrailer, EndlessEvent, EndlessBody, EndlessSurplus}
}

// RequestBody returns the body of a request that is answered this way.
func (a EndlessAnswer) RequestBody() string { return endlessPrefix + string(a) }

// parts returns the beginning of the answer, and what follows it without end.
func (a EndlessAnswer) parts(id models.RequestID, instance models.InstanceID) (first, repeated string) {
	head := "HTTP/1.1 200 OK\r\n" + headerRequestID + ": " + string(id) + "\r\n" + headerStamp + ": " + string(instance) + "\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	chunk := "400\r\n" + strings.Repeat("a", 0x400) + "\r\n"
	switch a {
	case EndlessHead:
		return head + "X-Long: ", "a"
	case EndlessInterim:
		return "", "HTTP/1.1 103 Early Hints\r\n\r\n"
	case EndlessChunk:
		return chunked + "1;", "a"
	case EndlessTrailer:
		return chunked + "0\r\nX-Long: ", "a"
	case EndlessEvent:
		return chunked + "6\r\ndata: \r\n", chunk
	case EndlessBody:
		return chunked, chunk
	case EndlessFields:
		return head, "A:\n"
	case EndlessFailure:
		return strings.Replace(chunked, "200 OK", "500 Failed", 1), chunk
	default:
		return head + "Content-Length: 2\r\n\r\nok", "a"
	}
}

// answerEndlessly answers a request without end if its body asks for that, until the caller closes
// the connection.
func (i *Instance) answerEndlessly(w http.ResponseWriter, id models.RequestID, body []byte) bool {
	kind, asked := bytes.CutPrefix(body, []byte(endlessPrefix))
	if !asked {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	first, repeated := EndlessAnswer(kind).parts(id, i.ID)
	step := []byte(strings.Repeat(repeated, endlessStep/len(repeated)))
	i.pool.endless.Add(1)
	defer i.pool.endless.Add(-1)
	for text := []byte(first); ; text = step {
		if _, err := conn.Write(text); err != nil {
			return true
		}
		time.Sleep(endlessInterval)
	}
}

// Endless returns the number of answers without end whose connections are open.
func (p *Pool) Endless() int { return int(p.endless.Load()) }
