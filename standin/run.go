package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/engine"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// RunReport describes a run that an engine started.
type RunReport struct {
	Request string         `json:"request"`
	Group   models.GroupID `json:"group"`
	Fence   models.Fence   `json:"fence"`
	Started time.Time      `json:"started"`
}

// run is the execution of one request. It goes on whether or not a client is connected.
type run struct {
	report RunReport
	model  models.ModelName

	mu      sync.Mutex
	tokens  []string
	done    bool
	failure string
	// changed is closed and replaced at each change.
	changed chan struct{}
	stop    context.CancelFunc
}

func (r *run) update(apply func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done || r.failure != "" {
		return
	}
	apply()
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) fail(reason string) {
	r.update(func() { r.failure = reason })
	r.stop()
}

func (r *run) ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done || r.failure != ""
}

// receivedFinalChunk reports whether a reader that has received this many events has the final
// chunk.
func (r *run) receivedFinalChunk(events int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return events > len(r.tokens)
}

type runSnapshot struct {
	tokens  []string
	done    bool
	failure string
	changed <-chan struct{}
}

func (r *run) snapshot(from int) runSnapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return runSnapshot{tokens: r.tokens[min(from, len(r.tokens)):], done: r.done, failure: r.failure, changed: r.changed}
}

// ChatRequest is the part of an OpenAI-style request that the engine reads.
type ChatRequest struct {
	Model     models.ModelName `json:"model"`
	Messages  []ChatMessage    `json:"messages"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream"`
}

// ChatMessage is one message of a conversation.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

const defaultMaxTokens = 16

// Prompt joins the contents of all messages.
func (c ChatRequest) Prompt() string {
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Token is the nth token that every engine generates for the prompt. Completions of different
// prompts share no token, so a response to another request is detected.
func Token(prompt string, n int) string {
	h := fnv.New32a()
	h.Write([]byte(prompt))
	return fmt.Sprintf("%08x-%d ", h.Sum32(), n)
}

// Completion is the full completion that every engine generates for the prompt.
func Completion(prompt string, tokens int) string {
	var b strings.Builder
	for n := range tokens {
		b.WriteString(Token(prompt, n))
	}
	return b.String()
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var chat ChatRequest
	if !readJSON(w, r, &chat) {
		return
	}
	if chat.MaxTokens <= 0 {
		chat.MaxTokens = defaultMaxTokens
	}
	started, refusal := e.startRun(r, chat)
	if refusal != "" {
		w.Header().Set(engine.HeaderNotRun, "true")
		writeError(w, http.StatusConflict, refusal)
		return
	}
	e.writeResponse(w, r, started, chat.Stream, 0)
}

// startRun starts a run, or returns the reason why the engine rejects it.
func (e *Engine) startRun(r *http.Request, chat ChatRequest) (*run, string) {
	id := r.Header.Get(engine.HeaderRequest)
	fence, _ := strconv.ParseUint(r.Header.Get(engine.HeaderFence), 10, 64)
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.status.Phase != types.PhaseLoaded:
		return nil, "not loaded"
	case !e.opts.IgnoreFences && models.Fence(fence) != e.status.Fence:
		return nil, fmt.Sprintf("request has fence %d, the engine is at %d", fence, e.status.Fence)
	case e.rank != 0:
		return nil, "not the first member of the replica"
	case len(e.members) > 1 && !e.membersLoaded:
		return nil, "a member of the replica is missing"
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := &run{
		report:  RunReport{Request: id, Group: e.status.Group, Fence: e.status.Fence, Started: time.Now()},
		model:   e.status.Model,
		changed: make(chan struct{}),
		stop:    cancel,
	}
	e.runs[id] = started
	e.startedRuns = append(e.startedRuns, started.report)
	go e.execute(ctx, started, chat, priority)
	return started, ""
}

// resumeWindow is how long a run can be read after its end.
const resumeWindow = 30 * time.Second

func (e *Engine) execute(ctx context.Context, r *run, chat ChatRequest, priority int) {
	defer r.stop()
	defer time.AfterFunc(resumeWindow, func() { e.removeRun(r) })
	if e.slots.acquire(ctx, priority) != nil {
		return
	}
	defer e.slots.release()
	prompt := chat.Prompt()
	uncached := e.cache.add(prompt)
	if sleep(ctx, e.opts.Prefill*time.Duration(uncached)/1000) != nil {
		return
	}
	for n := range chat.MaxTokens {
		if sleep(ctx, e.opts.TokenGap) != nil {
			return
		}
		r.update(func() { r.tokens = append(r.tokens, Token(prompt, n)) })
	}
	r.update(func() { r.done = true })
}

func (e *Engine) removeRun(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[r.report.Request] == r {
		delete(e.runs, r.report.Request)
	}
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	e.mu.Lock()
	found := e.runs[r.PathValue("request")]
	e.mu.Unlock()
	if found == nil {
		writeError(w, http.StatusNotFound, "no such run")
		return
	}
	e.writeResponse(w, r, found, true, after)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	found := e.runs[r.PathValue("request")]
	e.mu.Unlock()
	if found != nil {
		found.fail("cancelled")
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveRuns(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.startedRuns)
}

func (e *Engine) writeResponse(w http.ResponseWriter, r *http.Request, found *run, stream bool, after int) {
	w.Header().Set(engine.HeaderRequest, found.report.Request)
	w.Header().Set(engine.HeaderFence, strconv.FormatUint(uint64(found.report.Fence), 10))
	if stream {
		e.writeStream(w, r, found, after)
		return
	}
	e.writeCompletion(w, r, found)
}

func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, found *run) {
	for {
		snapshot := found.snapshot(0)
		if snapshot.failure != "" {
			writeError(w, http.StatusInternalServerError, snapshot.failure)
			return
		}
		if snapshot.done {
			writeJSON(w, http.StatusOK, completion(found, strings.Join(snapshot.tokens, ""), len(snapshot.tokens)))
			return
		}
		select {
		case <-snapshot.changed:
		case <-r.Context().Done():
			return
		}
	}
}

func completion(r *run, text string, tokens int) map[string]any {
	return map[string]any{
		"id": r.report.Request, "object": "chat.completion", "model": r.model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "stop",
			"message": map[string]any{"role": "assistant", "content": text},
		}},
		"usage": map[string]any{"completion_tokens": tokens},
	}
}

// writeStream sends the tokens as events whose ids number them, so that a reader can resume. The
// last event is the end mark.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, found *run, after int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w).Flush
	next := after
	for {
		snapshot := found.snapshot(next)
		for _, token := range snapshot.tokens {
			next++
			writeEvent(w, next, chunk(found, token))
		}
		switch {
		case snapshot.failure != "":
			_ = flush()
			panic(http.ErrAbortHandler)
		case snapshot.done && len(snapshot.tokens) == 0:
			// The final chunk counts as one more event, so that a reader that resumes gets it only
			// once.
			if !found.receivedFinalChunk(after) {
				writeEvent(w, next+1, finalChunk(found))
			}
			fmt.Fprint(w, "data: [DONE]\n\n")
			return
		case snapshot.done:
			continue
		}
		if flush() != nil {
			return
		}
		select {
		case <-snapshot.changed:
		case <-r.Context().Done():
			return
		}
	}
}

func writeEvent(w http.ResponseWriter, id int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data)
}

func chunk(r *run, token string) map[string]any {
	return map[string]any{
		"id": r.report.Request, "object": "chat.completion.chunk", "model": r.model,
		"choices": []any{map[string]any{"index": 0, "delta": map[string]any{"content": token}}},
	}
}

func finalChunk(r *run) map[string]any {
	return map[string]any{
		"id": r.report.Request, "object": "chat.completion.chunk", "model": r.model,
		"choices": []any{map[string]any{"index": 0, "delta": map[string]any{}, "finish_reason": "stop"}},
	}
}
