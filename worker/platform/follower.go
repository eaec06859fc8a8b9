package platform

import (
	"context"
	"errors"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

const (
	readWait = time.Second
	// retryRead is the pause after a failed read.
	retryRead = 200 * time.Millisecond
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
}

// Run follows the stream until the context ends. When the offset that it
// wants has expired it says so and waits to be told where to go on.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.waitSeek(ctx, 0)
		began := time.Now()
		answer, err := f.Client.Read(ctx, f.Stream, f.Next, readWait)
		if ctx.Err() != nil {
			break
		}
		switch {
		case errors.Is(err, ErrExpired):
			types.Send(ctx, f.Out, types.LogExpired{First: answer.First})
			f.waitSeek(ctx, readWait)
		case err != nil:
			types.Send(ctx, f.Out, types.LogAway{Err: err})
			pause(ctx, retryRead)
		default:
			f.Next += models.Offset(len(answer.Entries))
			types.Send(ctx, f.Out, types.LogRead{Began: began, Entries: answer.Entries, Next: answer.Next})
		}
	}
	return ctx.Err()
}

// waitSeek moves to the offset that it is told within the given time.
func (f *Follower) waitSeek(ctx context.Context, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case f.Next = <-f.Seek:
	case <-t.C:
	case <-ctx.Done():
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
