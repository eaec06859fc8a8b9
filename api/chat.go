package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/router"
	"github.com/lupinkeel/lupinkeel/worker/upstream"
)

const chatPath = "/v1/chat/completions"

// chatRequest is the part of a request that the daemon reads. The whole body
// goes to the engine as it came.
type chatRequest struct {
	Model    models.ModelName  `json:"model"`
	Messages []json.RawMessage `json:"messages"`
	Stream   bool              `json:"stream"`
}

func parseChat(body []byte) (chatRequest, error) {
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return chat, fmt.Errorf("%w: %w", ErrBody, err)
	}
	if chat.Model == "" {
		return chat, fmt.Errorf("%w: model is missing", ErrBody)
	}
	if len(chat.Messages) == 0 {
		return chat, fmt.Errorf("%w: messages is missing or empty", ErrBody)
	}
	return chat, nil
}

// prefixLen is how much of a prompt's beginning decides which cache it goes
// to, in bytes.
const prefixLen = 256

// prefixOf is a hash of the beginning of the first message.
func prefixOf(chat chatRequest) uint64 {
	first := chat.Messages[0]
	h := fnv.New64a()
	h.Write(first[:min(len(first), prefixLen)])
	return h.Sum64()
}

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	e, ctx, done := s.begin(w, r, true)
	if e == nil {
		return
	}
	defer done()
	chat, err := parseChat(e.body)
	if err != nil {
		s.refuse(w, err)
		return
	}
	e.entry.ModelOrService = string(chat.Model)
	capacity := s.daemon.View().Table.CapacityFor(e.workspace, chat.Model, e.started)
	if err := s.admitted.Acquire(chat.Model, e.workspace, capacity, e.priority); err != nil {
		s.refuse(w, err)
		return
	}
	defer s.admitted.Release(chat.Model, e.workspace.Name)
	prompt := router.Prompt{Prefix: prefixOf(chat)}
	prompt.SeenBefore = s.prefixes.Seen(prompt.Prefix)
	e.choose = func(now time.Time, avoid []netip.AddrPort) (router.Target, error) {
		return s.daemon.View().Table.ChooseGroup(e.workspace, chat.Model, prompt, now, s.flights.at, avoid)
	}
	e.call = func(t router.Target) upstream.Call {
		return upstream.Call{
			Addr: t.Addr, Method: http.MethodPost, Path: chatPath, Header: passOn(r.Header), Body: e.body,
			Request: e.req.ID, Group: t.Group.ID, Fence: t.Group.Fence, Priority: e.priority, Fresh: !e.req.Idempotent,
		}
	}
	e.answer = e.answerWhole
	if chat.Stream {
		e.answer = e.answerStream
	}
	var last netip.AddrPort
	defer func() {
		if e.req.Outcome() == router.OutcomeMayHaveRun && last.IsValid() {
			s.cancelRun(last, e.req.ID)
		}
	}()
	answer := e.answer
	e.answer = func(ctx context.Context, t router.Target, a *upstream.Answer) error {
		last = t.Addr
		return answer(ctx, t, a)
	}
	e.run(ctx)
}

// cancelRun tells an engine that nobody waits for a run any more. It does so
// in the background: the caller's answer must not wait for an engine that may
// be away.
func (s *Server) cancelRun(addr netip.AddrPort, id models.RequestID) {
	task.Start(context.Background(), "cancel", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, cancelWithin)
		defer cancel()
		answer, err := s.upstream.Do(ctx, upstream.Call{Addr: addr, Method: http.MethodDelete, Path: "/v1/runs/" + string(id), Request: id})
		if err != nil {
			s.log.Debug().Err(err).Str("request", string(id)).Msg("cancel-failed")
			return err
		}
		return answer.Body.Close()
	})
}

// answerStream passes events on, each whole, until the end mark. It says
// nothing to the caller before the first event.
func (e *exchange) answerStream(ctx context.Context, target router.Target, answer *upstream.Answer) error {
	if answer.Status != http.StatusOK {
		return e.answerWhole(ctx, target, answer)
	}
	events := upstream.NewEvents(answer.Body)
	defer events.Close()
	event, err := events.Next()
	if err != nil {
		return fmt.Errorf("%w: %w", upstream.ErrMayHaveRun, err)
	}
	e.w.Header().Set("Cache-Control", "no-store")
	if err := e.writeHead(target, answer); err != nil {
		return err
	}
	flush := http.NewResponseController(e.w).Flush
	last := 0
	for {
		if _, err := event.WriteTo(e.w); err != nil {
			return err
		}
		if err := flush(); err != nil {
			return err
		}
		if event.Last() {
			return nil
		}
		last = max(last, event.ID)
		if event, err = events.Next(); err == nil {
			continue
		}
		if events, event, err = e.resume(ctx, target, last, err); err != nil {
			e.writeErrorEvent(err)
			return fmt.Errorf("%w: %w", upstream.ErrMayHaveRun, err)
		}
		defer events.Close()
	}
}

const (
	resumeTries = 5
	resumePause = 200 * time.Millisecond
)

// resume asks the engine for the rest of the same run, after the event that
// the caller got last. The rest of another run never takes its place.
func (e *exchange) resume(ctx context.Context, target router.Target, after int, cause error) (*upstream.Events, upstream.Event, error) {
	if after == 0 {
		return nil, upstream.Event{}, cause
	}
	for try := range resumeTries {
		answer, err := e.s.upstream.Do(ctx, upstream.Call{
			Addr: target.Addr, Method: http.MethodGet, Path: fmt.Sprintf("/v1/runs/%s?after=%d", e.req.ID, after),
			Request: e.req.ID, Group: target.Group.ID, Fence: target.Group.Fence, Fresh: true,
		})
		if err == nil && answer.Status != http.StatusOK {
			answer.Body.Close()
			return nil, upstream.Event{}, errors.Join(cause, fmt.Errorf("resume: status %d", answer.Status))
		}
		if err == nil {
			events := upstream.NewEvents(answer.Body)
			event, err := events.Next()
			if err == nil {
				e.s.log.Info().Str("request", string(e.req.ID)).Int("after", after).Int("try", try+1).Msg("stream-resumed")
				return events, event, nil
			}
			events.Close()
		}
		select {
		case <-ctx.Done():
			return nil, upstream.Event{}, errors.Join(cause, ctx.Err())
		case <-time.After(resumePause):
		}
	}
	return nil, upstream.Event{}, cause
}

// writeErrorEvent tells a caller within the stream that it ends here. The
// connection is broken off afterwards.
func (e *exchange) writeErrorEvent(cause error) {
	err := fmt.Errorf("%w: %w", ErrUpstream, cause)
	data, merr := json.Marshal(errorBody{Error: detailOf(err, router.OutcomeMayHaveRun)})
	if merr != nil {
		return
	}
	// If this fails the caller is gone and needs no telling.
	_, _ = fmt.Fprintf(e.w, "event: error\ndata: %s\n\n", data)
	_ = http.NewResponseController(e.w).Flush()
}
