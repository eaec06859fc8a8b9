package platform

import (
	"context"
	"errors"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

const (
	// readWait is how long a read at the end of the stream waits for more.
	maxReadWait = time.Second
	// retryRead is the pause after a failed read.
	readRetryDelay = 200 * time.Millisecond
)

// Follower reads one stream to its end and then waits for more.
type Follower struct {
	Client *Client
	Stream string
	// Next is the first offset wanted.
	Next models.Offset
	// Seek moves Next while the follower runs.
	Seek <-chan models.Offset
	Out  chan<- types.Message

	// atEnd tells that the last read came to the end of the stream.
	atEnd bool
}

// Run follows the stream until the context ends. When the offset that it
// wants has expired it says so and waits to be told where to go on.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.pollSeek()
		startedAt := time.Now()
		answer, err := f.Client.Read(ctx, f.Stream, f.Next, f.nextWait())
		if ctx.Err() != nil {
			break
		}
		f.atEnd = false
		switch {
		case errors.Is(err, ErrExpired):
			types.Send(ctx, f.Out, types.LogExpired{First: answer.First})
			f.awaitSeek(ctx, maxReadWait)
		case err != nil:
			types.Send(ctx, f.Out, types.LogUnavailable{Err: err})
			sleep(ctx, readRetryDelay)
		default:
			f.Next += models.Offset(len(answer.Entries))
			f.atEnd = f.Next >= answer.Next
			types.Send(ctx, f.Out, types.LogRead{StartedAt: startedAt, Entries: answer.Entries, Next: answer.Next})
		}
	}
	return ctx.Err()
}

// wait is how long the next read may take. Until the end was reached a read
// comes back at once: a daemon that starts again, or goes on from a checkpoint
// at the end of the stream, serves nothing until it knows that it has read
// everything, 1 s sooner by this.
func (f *Follower) nextWait() time.Duration {
	if f.atEnd {
		return maxReadWait
	}
	return 0
}

// takeSeek moves to the offset that the follower was told, if it was.
func (f *Follower) pollSeek() {
	select {
	case next := <-f.Seek:
		f.moveTo(next)
	default:
	}
}

// waitSeek moves to the offset that the follower is told within the given
// time.
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
