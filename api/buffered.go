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

// answerWhole reads the answer to its end before the caller sees any of it.
func (e *exchange) forwardBuffered(_ context.Context, target router.Target, resp *upstream.Answer) error {
	data, err := resp.ReadAll(maxBufferedResponse)
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

// errNotWhole is returned for an engine's answer without its end mark.
var errIncomplete = errors.New("the answer is not whole")

// checkCompletion accepts an answer only if every choice has come to its
// end. An engine's own error is no answer, unless it blames the request.
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
