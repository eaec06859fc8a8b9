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

// Write queues a line, or drops it if the queue is full.
func (b *Async) Write(line []byte) (int, error) {
	select {
	case b.lines <- bytes.Clone(line):
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
