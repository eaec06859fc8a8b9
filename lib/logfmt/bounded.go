package logfmt

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Async is an asynchronous writer: it queues lines for a writer that may block, so that logging
// never blocks. It drops lines when the queue is full and logs how many were dropped.
type Async struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewAsync returns a writer with a queue of queueLen lines.
func NewAsync(out io.Writer, queueLen int) *Async {
	return &Async{out: out, lines: make(chan []byte, queueLen)}
}

// maxLineLen is the length in bytes to which a line is cut. An error may quote whatever an upstream sent.
const maxLineLen = 4 << 10

// lineCut ends a line that was cut.
const lineCut = "...\n"

// Write queues a line, or drops it if the queue is full. A line longer than maxLineLen is cut.
func (b *Async) Write(line []byte) (int, error) {
	queued := bytes.Clone(line[:min(len(line), maxLineLen)])
	if len(line) > maxLineLen {
		copy(queued[maxLineLen-len(lineCut):], lineCut)
	}
	select {
	case b.lines <- queued:
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes queued lines until the context ends, and then flushes the queue.
func (b *Async) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return b.flush()
		case line := <-b.lines:
			if err := b.write(line); err != nil {
				return err
			}
		}
	}
}

func (b *Async) flush() error {
	for {
		select {
		case line := <-b.lines:
			if err := b.write(line); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

func (b *Async) write(line []byte) error {
	if n := b.dropped.Swap(0); n > 0 {
		notice := New(b.out, zerolog.WarnLevel)
		notice.Warn().Int64("lines", n).Msg("log-lines-dropped")
	}
	_, err := b.out.Write(line)
	return err
}
