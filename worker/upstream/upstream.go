// Package upstream carries requests to engines and plain services over HTTP
// and tells, for each that fails, whether it can have been run.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/lupinkeel/lupinkeel/lib/dial"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/engine"
)

// Ends of a call that gave no whole answer.
var (
	// ErrNotRun: the call never reached the upstream, or the upstream
	// proved that it did not run it.
	ErrNotRun = errors.New("the request was not run")
	// ErrMayHaveRun: the call may have been run.
	ErrMayHaveRun = errors.New("the request may have been run")
	// ErrNotServing comes with either of the above: the upstream can't be
	// reached, broke off, or refuses to serve its group.
	ErrNotServing = errors.New("the upstream does not serve")
	// ErrTooLong: the answer is longer than is accepted.
	ErrTooLong = errors.New("the answer is too long")
)

// Call is one try of a request.
type Call struct {
	Addr   netip.AddrPort
	Method string
	Path   string
	Header http.Header
	Body   []byte

	Request  models.RequestID
	Group    models.GroupID
	Fence    models.Fence
	Priority int
	// Fresh asks for a connection of its own. On a reused connection a
	// failure to send can't be told from a lost answer.
	NewConn bool
}

// Answer is the head of an answer. The body must be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Client carries calls.
type Client struct {
	pooled   *http.Client
	unpooled *http.Client
}

// NewClient returns a client that keeps idle connections to every upstream.
func NewClient(dialer dial.Dialer) *Client {
	pooled := &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true,
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second,
	}
	unpooled := &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, DisableKeepAlives: true}
	return &Client{pooled: newHTTPClient(pooled), unpooled: newHTTPClient(unpooled)}
}

func newHTTPClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport: transport,
		// A redirect would send the request somewhere that nobody chose.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Do sends the call and returns the head of the answer. Its error wraps
// ErrNotRun or ErrMayHaveRun.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := newRequest(ctx, call)
	if err != nil {
		return nil, errors.Join(ErrNotRun, trace.Wrap(err))
	}
	httpClient := c.pooled
	if call.NewConn {
		httpClient = c.unpooled
	}
	resp, err := httpClient.Do(req)
	switch {
	case err != nil && !connected.Load():
		return nil, errors.Join(ErrNotRun, ErrNotServing, trace.Wrap(err))
	case err != nil:
		return nil, errors.Join(ErrMayHaveRun, ErrNotServing, trace.Wrap(err))
	}
	answer := &Answer{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}
	if err := checkHeader(call, answer); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return answer, nil
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	url := fmt.Sprintf("http://%s%s", call.Addr, call.Path)
	req, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport can't send the request a second time
	// on its own.
	req.GetBody = nil
	for k, v := range call.Header {
		req.Header[k] = v
	}
	req.Header.Set(engine.HeaderRequest, string(call.Request))
	if call.Group != "" {
		req.Header.Set(engine.HeaderGroup, string(call.Group))
		req.Header.Set(engine.HeaderFence, strconv.FormatUint(uint64(call.Fence), 10))
		req.Header.Set(engine.HeaderPriority, strconv.Itoa(call.Priority))
	}
	return req, nil
}

// checkHead refuses an answer that is a proof of not having run, or that
// belongs to another request.
func checkHeader(call Call, resp *Answer) error {
	if resp.Status >= 400 && resp.Header.Get(engine.HeaderNotRun) == "true" {
		if resp.Status == http.StatusConflict {
			return fmt.Errorf("%w: %w: it refused the request with status %d", ErrNotRun, ErrNotServing, resp.Status)
		}
		return fmt.Errorf("%w: the upstream refused it with status %d", ErrNotRun, resp.Status)
	}
	id := resp.Header.Get(engine.HeaderRequest)
	if id != "" && id != string(call.Request) {
		return fmt.Errorf("%w: the answer belongs to request %s", ErrMayHaveRun, id)
	}
	if call.Group != "" && id == "" && resp.Status < 300 {
		return fmt.Errorf("%w: the answer does not name its request", ErrMayHaveRun)
	}
	return nil
}

// ReadWhole reads the rest of an answer to its end and closes it. An answer
// that ends early, or is longer than limit, gives an error that wraps
// ErrMayHaveRun.
func (a *Answer) ReadAll(limit int64) ([]byte, error) {
	defer a.Body.Close()
	data, err := io.ReadAll(io.LimitReader(a.Body, limit+1))
	if err != nil {
		return nil, errors.Join(ErrMayHaveRun, trace.Wrap(err))
	}
	if int64(len(data)) > limit {
		return nil, errors.Join(ErrMayHaveRun, ErrTooLong)
	}
	return data, nil
}
