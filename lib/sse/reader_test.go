package sse

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

// TestStreamFiles reads the streams in testdata, at once and byte by byte, and checks the
// resulting events. In each file the stream precedes the line "---" and the expected result
// follows it.
func TestStreamFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/*.stream")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		data, err := os.ReadFile(file)
		qt.Assert(t, err, qt.IsNil)
		stream, want, found := strings.Cut(string(data), "---\n")
		qt.Assert(t, found, qt.IsTrue)
		t.Run(filepath.Base(file), func(t *testing.T) {
			qt.Assert(t, summarize(strings.NewReader(stream)), qt.Equals, want)
			qt.Assert(t, summarize(iotest.OneByteReader(strings.NewReader(stream))), qt.Equals, want)
		})
	}
}

func summarize(r io.Reader) string {
	var out strings.Builder
	events := NewReader(r)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return out.String() + "end\n"
		}
		if err != nil {
			fmt.Fprintf(&out, "cut=%t\n", errors.Is(err, ErrTruncated))
			return out.String()
		}
		fmt.Fprintf(&out, "id=%d has=%t bytes=%d\n", event.ID, event.HasID, len(event.Raw))
	}
}

func TestTooLong(t *testing.T) {
	events := NewReader(io.LimitReader(endlessReader{}, 4*MaxEvent))
	_, err := events.Next()
	qt.Assert(t, err, qt.ErrorIs, ErrTooLong)
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

func ExampleReader() {
	events := NewReader(bufio.NewReader(strings.NewReader("id: 7\ndata: a\n\n")))
	event, err := events.Next()
	fmt.Println(event.ID, err)
	// Output: 7 <nil>
}
