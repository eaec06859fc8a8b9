package platform

import (
	"context"
	"errors"
	"time"

	"github.com/lupinkeel/lupinkeel/worker/types"
)

const appendRetryDelay = 100 * time.Millisecond

// Appender appends records and retries until the append's deadline. A record with several
// attempts may be on the log several times; the state detects duplicates by record ID.
type Appender struct {
	Client  *Client
	Appends <-chan types.Append
	Out     chan<- types.Message
}

// Run appends records until the context ends.
func (a *Appender) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case req := <-a.Appends:
			types.Send(ctx, a.Out, a.append(ctx, req))
		}
	}
}

// ErrAppendDeadline is returned for a record that was not sent before its deadline.
var ErrAppendDeadline = errors.New("the record's time was up")

func (a *Appender) append(ctx context.Context, req types.Append) types.AppendResult {
	res := types.AppendResult{Append: req, Err: ErrAppendDeadline}
	for time.Now().Before(req.Deadline) && ctx.Err() == nil {
		offset, err := a.Client.Append(ctx, req.Stream, req.Data)
		if err == nil {
			return types.AppendResult{Append: req, Offset: offset}
		}
		res.Err = err
		res.Ambiguous = res.Ambiguous || errors.Is(err, ErrUnknown)
		sleep(ctx, appendRetryDelay)
	}
	return res
}
