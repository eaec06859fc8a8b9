// Package load sends requests at a steady rate, whatever becomes of those
// sent before, and counts what comes back. Operators use it through
// 'lupinkeel load', the measurements directly.
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

// Caller is one workspace's part of the load.
type Caller struct {
	Token string
	// Weight is its part of the requests against the other callers'.
	Weight int
}

// Options describe a load.
type Options struct {
	// Targets are the daemons, or engines, that get the requests in turn.
	Targets []netip.AddrPort
	Callers []Caller
	Model   models.ModelName
	// Rate is in requests a second.
	Rate     float64
	Duration time.Duration
	// Prompt and Answer are the mean lengths, in bytes and tokens; single
	// requests have half to one and a half times as much.
	Prompt int
	Answer int
	// Prefixes is how many different beginnings the prompts have; the first
	// three quarters of a prompt are shared. 0 shares nothing.
	Prefixes int
	Timeout  time.Duration
	// Seed fixes lengths and prefixes.
	Seed uint64
	// HeaderFor, if set, returns what is sent with a request to a target.
	HeaderFor func(netip.AddrPort) http.Header
}

// Ends of a request as its caller sees it, beside those of router.End.
const (
	// EndBroken: the stream broke off, or ended in an error event.
	EndBroken router.Outcome = "broken"
	// EndShort: the stream ended cleanly without its end mark.
	EndShort router.Outcome = "short"
	// EndDoubled: events came after the end mark.
	EndDoubled router.Outcome = "doubled"
	// EndSilent: there was no answer at all.
	EndSilent router.Outcome = "silent"
)

// Report is what a load showed.
type Report struct {
	Sent   int                    `json:"sent"`
	Ends   map[router.Outcome]int `json:"ends"`
	Tokens int                    `json:"tokens"`
	// Seconds is how long it took until the last answer, Sending how long
	// requests were sent.
	Seconds float64 `json:"seconds"`
	Sending float64 `json:"sending_seconds"`
	// Goodput is whole answers a second.
	Goodput    float64             `json:"goodput_per_second"`
	FirstToken latency.Percentiles `json:"first_token"`
	InterToken latency.Percentiles `json:"inter_token"`
	Refusal    latency.Percentiles `json:"refusal"`
}

// Run sends the load and waits for the last answer. progress, if not nil, is
// called once a second.
func Run(ctx context.Context, opts Options, progress func(Report)) (Report, error) {
	if err := opts.check(); err != nil {
		return Report{}, err
	}
	r := newRunner(opts)
	var answers sync.WaitGroup
	gap := time.Duration(float64(time.Second) / opts.Rate)
	second := time.NewTicker(time.Second)
	defer second.Stop()
	next := time.NewTimer(0)
	defer next.Stop()
	for r.started = time.Now(); ctx.Err() == nil && time.Since(r.started) < opts.Duration; {
		select {
		case <-ctx.Done():
		case <-second.C:
			if progress != nil {
				progress(r.report())
			}
		case <-next.C:
			n := r.count()
			req := r.draw(n)
			answers.Go(func() { r.note(r.send(ctx, req)) })
			next.Reset(time.Until(r.started.Add(time.Duration(n+1) * gap)))
		}
	}
	sending := time.Since(r.started)
	answers.Wait()
	report := r.report()
	// What was sent in time may end much later: it counts for the time
	// that it took.
	report.Goodput = float64(report.Ends[router.OutcomeComplete]) / report.Seconds
	report.Sending = sending.Seconds()
	return report, nil
}

// ErrOptions is returned for a load that can't be sent.
var ErrOptions = errors.New("bad load")

func (o Options) check() error {
	switch {
	case len(o.Targets) == 0:
		return fmt.Errorf("%w: no target", ErrOptions)
	case len(o.Callers) == 0:
		return fmt.Errorf("%w: no token", ErrOptions)
	case o.Rate <= 0 || o.Duration <= 0:
		return fmt.Errorf("%w: rate and duration must be more than 0", ErrOptions)
	case o.Prompt <= 0 || o.Answer <= 0:
		return fmt.Errorf("%w: prompt and answer must be more than 0", ErrOptions)
	}
	for _, t := range o.Targets {
		if !t.IsValid() {
			return fmt.Errorf("%w: target %s", ErrOptions, t)
		}
	}
	return nil
}

// runner is one load under way.
type runner struct {
	opts    Options
	http    *http.Client
	started time.Time

	mu         sync.Mutex
	rng        *rand.Rand
	sent       int
	tokens     int
	ends       map[router.Outcome]int
	firstToken latency.Times
	interToken latency.Times
	refusal    latency.Times
}

const maxIdle = 1024

func newRunner(opts Options) *runner {
	return &runner{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 0)), ends: map[router.Outcome]int{},
		http:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdle, DisableCompression: true}},
		firstToken: latency.New(),
		interToken: latency.New(),
		refusal:    latency.New(),
	}
}

func (r *runner) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	return r.sent - 1
}

// request is one request as it was drawn.
type request struct {
	target netip.AddrPort
	token  string
	body   []byte
}

func (r *runner) draw(n int) request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return request{
		target: r.opts.Targets[n%len(r.opts.Targets)],
		token:  r.drawCaller(),
		body:   r.drawBody(n),
	}
}

func (r *runner) drawCaller() string {
	total := 0
	for _, c := range r.opts.Callers {
		total += max(1, c.Weight)
	}
	at := r.rng.IntN(total)
	for _, c := range r.opts.Callers {
		if at -= max(1, c.Weight); at < 0 {
			return c.Token
		}
	}
	return r.opts.Callers[0].Token
}

func (r *runner) drawBody(n int) []byte {
	around := func(mean int) int { return mean/2 + r.rng.IntN(mean+1) }
	prompt := fmt.Sprintf("request %d of seed %d ", n, r.opts.Seed)
	length := around(r.opts.Prompt)
	if r.opts.Prefixes > 0 {
		shared := fmt.Sprintf("prefix %d ", r.rng.IntN(r.opts.Prefixes))
		prompt = strings.Repeat(shared, r.opts.Prompt*3/4/len(shared)) + prompt
	}
	if missing := length - len(prompt); missing > 0 {
		prompt += strings.Repeat("x", missing)
	}
	body, err := json.Marshal(map[string]any{
		"model": r.opts.Model, "stream": true, "max_tokens": around(r.opts.Answer),
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// result is what one request showed.
type result struct {
	end        router.Outcome
	firstToken time.Duration
	gaps       []time.Duration
	took       time.Duration
}

func (r *runner) note(res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends[res.end]++
	if res.end == router.OutcomeNotRun {
		r.refusal.Add(res.took)
		return
	}
	if res.firstToken > 0 {
		r.firstToken.Add(res.firstToken)
		r.tokens += 1 + len(res.gaps)
	}
	for _, g := range res.gaps {
		r.interToken.Add(g)
	}
}

func (r *runner) report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	ends := map[router.Outcome]int{}
	for end, n := range r.ends {
		ends[end] = n
	}
	return Report{
		Sent: r.sent, Ends: ends, Tokens: r.tokens, Seconds: time.Since(r.started).Seconds(),
		FirstToken: r.firstToken.Percentiles(), InterToken: r.interToken.Percentiles(), Refusal: r.refusal.Percentiles(),
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
		return result{end: EndSilent}
	}
	if r.opts.HeaderFor != nil {
		for k, v := range r.opts.HeaderFor(req.target) {
			httpReq.Header[k] = v
		}
	}
	httpReq.Header.Set("Authorization", "Bearer "+req.token)
	resp, err := r.http.Do(httpReq)
	if err != nil {
		return result{end: EndSilent, took: time.Since(started)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		end := router.Outcome(resp.Header.Get(api.HeaderEnd))
		if end == router.OutcomeNone {
			end = EndBroken
		}
		return result{end: end, took: time.Since(started)}
	}
	return readStream(resp.Body, started)
}

// readStream times the events of an answer and sees how it ends.
func readStream(body io.Reader, started time.Time) result {
	res := result{end: EndShort}
	last := started
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		line := lines.Text()
		switch {
		case res.end == router.OutcomeComplete && line != "":
			res.end = EndDoubled
		case strings.HasPrefix(line, "event: error"):
			res.end = EndBroken
			return res
		case line == "data: [DONE]":
			res.end = router.OutcomeComplete
		case strings.HasPrefix(line, "data: ") && strings.Contains(line, `"content"`):
			now := time.Now()
			if res.firstToken == 0 {
				res.firstToken = now.Sub(started)
			} else {
				res.gaps = append(res.gaps, now.Sub(last))
			}
			last = now
		}
	}
	if lines.Err() != nil {
		res.end = EndBroken
	}
	res.took = time.Since(started)
	return res
}
