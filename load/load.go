// Package load sends requests at a steady rate, without waiting for earlier ones to complete (open
// loop), and measures the responses. Operators use it through 'lupinkeel load', the measurements
// use it directly.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/api"
	"github.com/lupinkeel/lupinkeel/lib/latency"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/router"
)

// Caller is the caller token of one workspace and its share of the load.
type Caller struct {
	Token string
	// Weight is the caller's share of the requests, relative to the weights of the other callers.
	Weight int
}

// Options configures a load.
type Options struct {
	// Targets are the daemons, or engines, that receive the requests in turn.
	Targets []netip.AddrPort
	Callers []Caller
	Model   models.ModelName
	// Rate is the number of requests a second.
	Rate     float64
	Duration time.Duration
	// Prompt and OutputTokens are the mean lengths of prompts in bytes and of completions in tokens;
	// the length of a single request is between half and one and a half times the mean.
	Prompt       int
	OutputTokens int
	// Prefixes is how many different shared prefixes the prompts have; a prefix is three quarters
	// of the mean prompt length. 0 means that prompts share no prefix.
	Prefixes int
	Timeout  time.Duration
	// Seed determines the lengths and prefixes.
	Seed uint64
	// HeaderFor, if set, returns additional headers for requests to a target.
	HeaderFor func(netip.AddrPort) http.Header
}

// The outcomes of a request as its caller sees them, in addition to those of router.Outcome.
const (
	// OutcomeBroken: the stream was aborted, or ended in an error event.
	OutcomeBroken router.Outcome = "broken"
	// OutcomeTruncated: the stream ended cleanly without its end mark.
	OutcomeTruncated router.Outcome = "short"
	// OutcomeExtraEvents: more events followed the end mark.
	OutcomeExtraEvents router.Outcome = "doubled"
	// OutcomeNoResponse: there was no response.
	OutcomeNoResponse router.Outcome = "silent"
)

// Report holds the results of a load.
type Report struct {
	Sent     int                    `json:"sent"`
	Outcomes map[router.Outcome]int `json:"ends"`
	Tokens   int                    `json:"tokens"`
	// Seconds is the time until the last response, SendingSeconds the time in which requests were
	// sent.
	Seconds        float64 `json:"seconds"`
	SendingSeconds float64 `json:"sending_seconds"`
	// Goodput is the number of complete responses a second.
	Goodput    float64             `json:"goodput_per_second"`
	FirstToken latency.Percentiles `json:"first_token"`
	InterToken latency.Percentiles `json:"inter_token"`
	Rejection  latency.Percentiles `json:"refusal"`
}

// Run sends the load and waits for the last response. progress, if not nil, is called once a
// second.
func Run(ctx context.Context, opts Options, progress func(Report)) (Report, error) {
	if err := opts.check(); err != nil {
		return Report{}, err
	}
	r := newRunner(opts)
	var responses sync.WaitGroup
	interval := time.Duration(float64(time.Second) / opts.Rate)
	progressTick := time.NewTicker(time.Second)
	defer progressTick.Stop()
	next := time.NewTimer(0)
	defer next.Stop()
	for r.started = time.Now(); ctx.Err() == nil && time.Since(r.started) < opts.Duration; {
		select {
		case <-ctx.Done():
		case <-progressTick.C:
			if progress != nil {
				progress(r.report())
			}
		case <-next.C:
			n := r.nextIndex()
			req := r.newRequest(n)
			responses.Go(func() { r.record(r.send(ctx, req)) })
			next.Reset(time.Until(r.started.Add(time.Duration(n+1) * interval)))
		}
	}
	sending := time.Since(r.started)
	responses.Wait()
	report := r.report()
	// Requests that were sent within the duration may complete much later, so goodput is relative
	// to the time until the last response.
	report.Goodput = float64(report.Outcomes[router.OutcomeComplete]) / report.Seconds
	report.SendingSeconds = sending.Seconds()
	return report, nil
}

// ErrOptions is returned for invalid options.
var ErrOptions = errors.New("bad load")

func (o Options) check() error {
	switch {
	case len(o.Targets) == 0:
		return fmt.Errorf("%w: no target", ErrOptions)
	case len(o.Callers) == 0:
		return fmt.Errorf("%w: no token", ErrOptions)
	case o.Rate <= 0 || o.Duration <= 0:
		return fmt.Errorf("%w: rate and duration must be more than 0", ErrOptions)
	case o.Prompt <= 0 || o.OutputTokens <= 0:
		return fmt.Errorf("%w: prompt and answer must be more than 0", ErrOptions)
	}
	for _, t := range o.Targets {
		if !t.IsValid() {
			return fmt.Errorf("%w: target %s", ErrOptions, t)
		}
	}
	return nil
}

// runner is the state of a running load.
type runner struct {
	opts    Options
	http    *http.Client
	started time.Time

	mu         sync.Mutex
	rng        *rand.Rand
	sent       int
	tokens     int
	outcomes   map[router.Outcome]int
	firstToken latency.Histogram
	interToken latency.Histogram
	rejection  latency.Histogram
}

const maxIdleConnsPerHost = 1024

func newRunner(opts Options) *runner {
	return &runner{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 0)), outcomes: map[router.Outcome]int{},
		http:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}},
		firstToken: latency.New(),
		interToken: latency.New(),
		rejection:  latency.New(),
	}
}

func (r *runner) nextIndex() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	return r.sent - 1
}

// request is one generated request.
type request struct {
	target netip.AddrPort
	token  string
	body   []byte
}

func (r *runner) newRequest(n int) request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return request{
		target: r.opts.Targets[n%len(r.opts.Targets)],
		token:  r.pickCaller(),
		body:   r.newBody(n),
	}
}

func (r *runner) pickCaller() string {
	total := 0
	for _, c := range r.opts.Callers {
		total += max(1, c.Weight)
	}
	pick := r.rng.IntN(total)
	for _, c := range r.opts.Callers {
		if pick -= max(1, c.Weight); pick < 0 {
			return c.Token
		}
	}
	return r.opts.Callers[0].Token
}

func (r *runner) newBody(n int) []byte {
	vary := func(mean int) int { return mean/2 + r.rng.IntN(mean+1) }
	prompt := fmt.Sprintf("request %d of seed %d ", n, r.opts.Seed)
	length := vary(r.opts.Prompt)
	if r.opts.Prefixes > 0 {
		shared := fmt.Sprintf("prefix %d ", r.rng.IntN(r.opts.Prefixes))
		prompt = strings.Repeat(shared, r.opts.Prompt*3/4/len(shared)) + prompt
	}
	if missing := length - len(prompt); missing > 0 {
		prompt += strings.Repeat("x", missing)
	}
	body, err := json.Marshal(map[string]any{
		"model": r.opts.Model, "stream": true, "max_tokens": vary(r.opts.OutputTokens),
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// result is the outcome of one request.
type result struct {
	outcome    router.Outcome
	firstToken time.Duration
	tokenGaps  []time.Duration
	duration   time.Duration
}

func (r *runner) record(res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[res.outcome]++
	if res.outcome == router.OutcomeNotRun {
		r.rejection.Add(res.duration)
		return
	}
	if res.firstToken > 0 {
		r.firstToken.Add(res.firstToken)
		r.tokens += 1 + len(res.tokenGaps)
	}
	for _, g := range res.tokenGaps {
		r.interToken.Add(g)
	}
}

func (r *runner) report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	ends := map[router.Outcome]int{}
	for end, n := range r.outcomes {
		ends[end] = n
	}
	return Report{
		Sent: r.sent, Outcomes: ends, Tokens: r.tokens, Seconds: time.Since(r.started).Seconds(),
		FirstToken: r.firstToken.Percentiles(), InterToken: r.interToken.Percentiles(), Rejection: r.rejection.Percentiles(),
	}
}

func (r *runner) send(ctx context.Context, req request) result {
	if r.opts.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.opts.Timeout)
		defer cancel()
	}
	started := time.Now()
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/chat/completions", req.target), bytes.NewReader(req.body))
	if err != nil {
		return result{outcome: OutcomeNoResponse}
	}
	if r.opts.HeaderFor != nil {
		for k, v := range r.opts.HeaderFor(req.target) {
			httpReq.Header[k] = v
		}
	}
	httpReq.Header.Set("Authorization", "Bearer "+req.token)
	resp, err := r.http.Do(httpReq)
	if err != nil {
		return result{outcome: OutcomeNoResponse, duration: time.Since(started)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		end := router.Outcome(resp.Header.Get(api.HeaderOutcome))
		if end == router.OutcomeNone {
			end = OutcomeBroken
		}
		return result{outcome: end, duration: time.Since(started)}
	}
	return readStream(resp.Body, started)
}

// readStream measures the times between the events of a stream and determines its outcome.
func readStream(body io.Reader, started time.Time) result {
	res := result{outcome: OutcomeTruncated}
	last := started
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		line := lines.Text()
		switch {
		case res.outcome == router.OutcomeComplete && line != "":
			res.outcome = OutcomeExtraEvents
		case strings.HasPrefix(line, "event: error"):
			res.outcome = OutcomeBroken
			return res
		case line == "data: [DONE]":
			res.outcome = router.OutcomeComplete
		case strings.HasPrefix(line, "data: ") && strings.Contains(line, `"content"`):
			now := time.Now()
			if res.firstToken == 0 {
				res.firstToken = now.Sub(started)
			} else {
				res.tokenGaps = append(res.tokenGaps, now.Sub(last))
			}
			last = now
		}
	}
	if lines.Err() != nil {
		res.outcome = OutcomeBroken
	}
	res.duration = time.Since(started)
	return res
}
