package platform

import (
	"context"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// farOffset is past the end of any stream: reading from it tells where the
// stream ends.
const farOffset = models.Offset(1) << 62

// ReadTail reads the last entries of a stream, at most count.
func (c *Client) ReadTail(ctx context.Context, stream string, count int) ([]types.Entry, error) {
	end, err := c.Read(ctx, stream, farOffset, 0)
	if err != nil {
		return nil, err
	}
	next := end.First
	if end.Next > next+models.Offset(count) {
		next = end.Next - models.Offset(count)
	}
	var entries []types.Entry
	for next < end.Next {
		answer, err := c.Read(ctx, stream, next, 0)
		if errors.Is(err, ErrExpired) {
			next = answer.First
			continue
		}
		if err != nil {
			return nil, err
		}
		if len(answer.Entries) == 0 {
			return nil, trace.Wrap(fmt.Errorf("%w: the log ended early at %d of %d", ErrRefused, next, end.Next))
		}
		entries = append(entries, answer.Entries...)
		next = entries[len(entries)-1].Offset + 1
	}
	return entries, nil
}
