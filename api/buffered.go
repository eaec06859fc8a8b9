package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/lupinkeel/lupinkeel/router"
	"github.com/lupinkeel/lupinkeel/worker/upstream"
)

// forwardBuffered reads the whole response before it sends any of it to the caller.
func (e *exchange) forwardBuffered(_ context.Context, target router.Target, resp *upstream.Response) error {
	data, err := resp.ReadAll(maxBufferedResponse, e.s.buffers, &e.heldBytes)
	if err != nil {
		return err
	}
	if target.Group.ID != "" {
		if err := checkCompletion(resp.Status, data); err != nil {
			return err
		}
	}
	e.w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if err := e.writeHeader(target, resp); err != nil {
		return err
	}
	_, err = e.w.Write(data)
	return err
}

// errIncomplete is returned for an engine's response that is not complete.
var errIncomplete = errors.New("the answer is not whole")

// checkCompletion returns an error unless every choice has a finish reason. Server errors of the
// engine (5xx) count as no response; client errors (4xx) are forwarded.
func checkCompletion(status int, data []byte) error {
	if status >= 500 {
		return fmt.Errorf("%w: %w: status %d", upstream.ErrMayHaveRun, errIncomplete, status)
	}
	if status >= 400 {
		return nil
	}
	var completion struct {
		Choices []struct {
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &completion); err != nil {
		return fmt.Errorf("%w: %w: %w", upstream.ErrMayHaveRun, errIncomplete, err)
	}
	for _, c := range completion.Choices {
		if c.FinishReason == "" {
			return fmt.Errorf("%w: %w: a choice has no finish_reason", upstream.ErrMayHaveRun, errIncomplete)
		}
	}
	if len(completion.Choices) == 0 {
		return fmt.Errorf("%w: %w: it has no choices", upstream.ErrMayHaveRun, errIncomplete)
	}
	return nil
}
