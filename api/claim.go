package api

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lupinkeel/lupinkeel/daemon"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// claimTimeout bounds how long a request waits for its key to be recorded.
	claimTimeout = 3 * time.Second
	// releaseTimeout bounds the release of a key, for which no caller waits.
	releaseTimeout = 10 * time.Second
)

// claim records the request's idempotency key on the log before anything is sent. Only the
// request whose claim is first on the log continues.
func (e *exchange) claim(ctx context.Context) error {
	if e.keyHash == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	holder, err := e.s.daemon.Claim(ctx, e.keyHash, e.req.ID)
	switch {
	case err != nil:
		// With an unknown outcome the key may be claimed although nothing was sent, so it has to
		// be released.
		e.keyClaimed = errors.Is(err, daemon.ErrOutcomeUnknown)
		return fmt.Errorf("%w: %w", ErrKeyNotRecorded, err)
	case holder != e.req.ID:
		return errors.Join(ErrKeyInUse, e.req.KeyInUse())
	}
	e.keyClaimed = true
	return nil
}

// release releases a key in the background, so that the caller may retry with it. If the release
// fails the key stays claimed, which is safe.
func (s *Server) release(key string, id models.RequestID) {
	task.Start(context.Background(), "release", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		err := s.daemon.Release(ctx, key, id)
		if err != nil {
			s.log.Warn().Err(err).Str("request", string(id)).Msg("release-failed")
		}
		return err
	})
}
