package platform

import (
	"context"
	"errors"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

const (
	// maxReadWait is how long a read at the end of the stream waits for new entries.
	maxReadWait = time.Second
	// readRetryDelay is the pause after a failed read.
	readRetryDelay = 200 * time.Millisecond
)

// Follower reads one stream to its end and then waits for new entries.
type Follower struct {
	Client *Client
	Stream string
	// Next is the offset to read next.
	Next models.Offset
	// Seek carries offsets that replace Next while the follower runs.
	Seek <-chan models.Offset
	Out  chan<- types.Message

	// atEnd is set if the last read reached the end of the stream.
	atEnd bool
}

// Run follows the stream until the context ends. If the next offset has expired, it sends
// LogExpired and waits for a new offset on Seek.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.pollSeek()
		startedAt := time.Now()
		response, err := f.Client.Read(ctx, f.Stream, f.Next, f.nextWait())
		if ctx.Err() != nil {
			break
		}
		f.atEnd = false
		switch {
		case errors.Is(err, ErrExpired):
			types.Send(ctx, f.Out, types.LogExpired{First: response.First})
			f.awaitSeek(ctx, maxReadWait)
		case err != nil:
			types.Send(ctx, f.Out, types.LogUnavailable{Err: err})
			sleep(ctx, readRetryDelay)
		default:
			f.Next += models.Offset(len(response.Entries))
			f.atEnd = f.Next >= response.Next
			types.Send(ctx, f.Out, types.LogRead{StartedAt: startedAt, Entries: response.Entries, Next: response.Next})
		}
	}
	return ctx.Err()
}

// nextWait returns how long the next read may wait for entries. Before the end was reached a read
// returns immediately: a daemon that restarts, or continues from a checkpoint at the end of the
// stream, serves nothing until it knows that it has read everything. Not waiting saves it 1 s.
func (f *Follower) nextWait() time.Duration {
	if f.atEnd {
		return maxReadWait
	}
	return 0
}

// pollSeek moves to the offset on Seek, if there is one.
func (f *Follower) pollSeek() {
	select {
	case next := <-f.Seek:
		f.moveTo(next)
	default:
	}
}

// awaitSeek waits for an offset on Seek, at most for the timeout, and moves there.
func (f *Follower) awaitSeek(ctx context.Context, timeout time.Duration) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case next := <-f.Seek:
		f.moveTo(next)
	case <-t.C:
	case <-ctx.Done():
	}
}

func (f *Follower) moveTo(next models.Offset) {
	f.Next = next
	f.atEnd = false
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
