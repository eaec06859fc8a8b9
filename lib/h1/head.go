package h1

import (
	"bytes"
	"errors"
)

const (
	// MaxHeadBytes is the maximum length in bytes of the head of a response, with those of all
	// informational and discarded responses before it.
	MaxHeadBytes = 64 << 10
	// maxHeadLines is the maximum number of their lines. A field takes some hundred bytes in memory, however
	// short its line is.
	maxHeadLines = 256
)

// ErrHeadTooLong is returned if the heads of a response are longer than MaxHeadBytes, or have more than
// maxHeadLines.
var ErrHeadTooLong = errors.New("the head of the response is too long")

// headBudget is what may still be read of the heads of a response.
type headBudget struct {
	bytes, lines int
	// reading is set while a head is read, ended once its empty line was.
	reading, ended bool
	// inLine is set if a part of a line was read.
	inLine bool
}

func newHeadBudget() headBudget { return headBudget{bytes: MaxHeadBytes, lines: maxHeadLines} }

// begin begins a head, of which the given bytes were read before.
func (h *headBudget) begin(buffered []byte) error {
	h.reading, h.ended, h.inLine = true, false, false
	return h.countLines(buffered)
}

// countLines takes the lines that were read from the budget, up to the end of the head.
func (h *headBudget) countLines(read []byte) error {
	for !h.ended {
		line, rest, complete := bytes.Cut(read, []byte("\n"))
		isEmpty := !h.inLine && (len(line) == 0 || string(line) == "\r")
		switch {
		case !complete:
			h.inLine = !isEmpty
			return nil
		case isEmpty:
			h.ended = true
			return nil
		case h.lines == 0:
			// Nothing more is read: net/http may try again after an error.
			h.bytes = 0
			return ErrHeadTooLong
		}
		h.lines--
		h.inLine, read = false, rest
	}
	return nil
}
