// Package upstream sends requests to engines and plain services over HTTP and reports, for each
// that fails, whether it may have run.
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

	"github.com/lupinkeel/lupinkeel/lib/buffers"
	"github.com/lupinkeel/lupinkeel/lib/dial"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/engine"
)

// Errors of a call without a complete response.
var (
	// ErrNotRun: the call never reached the upstream, or the upstream proved that it did not run
	// it.
	ErrNotRun = errors.New("the request was not run")
	// ErrMayHaveRun: the call may have run.
	ErrMayHaveRun = errors.New("the request may have been run")
	// ErrNotServing accompanies ErrNotRun or ErrMayHaveRun: the upstream can't be reached, closed
	// the connection, or rejects requests for its group.
	ErrNotServing = errors.New("the upstream does not serve")
	// ErrTooLong: the response is longer than the limit.
	ErrTooLong = errors.New("the answer is too long")
)

// Call is one attempt of a request.
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
	// NewConn requests a new connection. On a reused connection a failure to send can't be told
	// from a lost response.
	NewConn bool
}

// Response is the header of a response and its body, which must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Client sends calls.
type Client struct {
	pooled   *http.Client
	unpooled *http.Client
}

// NewClient returns a client that keeps idle connections to every upstream.
func NewClient(dialer dial.Dialer) *Client {
	pooled := &http.Transport{
		MaxResponseHeaderBytes: h1.MaxHeadBytes, DialContext: dialer.DialContext, DisableCompression: true,
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second,
	}
	unpooled := &http.Transport{MaxResponseHeaderBytes: h1.MaxHeadBytes, DialContext: dialer.DialContext, DisableCompression: true, DisableKeepAlives: true}
	return &Client{pooled: newHTTPClient(pooled), unpooled: newHTTPClient(unpooled)}
}

func newHTTPClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport: transport,
		// A redirect would send the request to an upstream that the router did not choose.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Do sends the call and returns the response once its header has arrived. Its error wraps
// ErrNotRun or ErrMayHaveRun.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
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
	if err := h1.CheckStatus(resp.StatusCode); err != nil {
		resp.Body.Close()
		return nil, errors.Join(ErrMayHaveRun, trace.Wrap(err))
	}
	response := &Response{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body}
	if err := checkHeader(call, response); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return response, nil
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	url := fmt.Sprintf("http://%s%s", call.Addr, call.Path)
	req, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport can't resend the request on its own.
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

// checkHeader returns an error for a response that proves that the request did not run, and for
// one that belongs to another request.
func checkHeader(call Call, resp *Response) error {
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

// ReadAll reads the rest of the body, takes its bytes from the budget, adds them to holds, and closes it. For a
// body that ends early, is longer than limit or finds no room, it returns an error that wraps ErrMayHaveRun.
func (r *Response) ReadAll(limit int64, budget *buffers.Budget, holds *int) ([]byte, error) {
	defer r.Body.Close()
	data, err := io.ReadAll(buffers.Reader{R: io.LimitReader(r.Body, limit+1), Budget: budget, Holds: holds, IsResponse: true})
	if err != nil {
		return nil, errors.Join(ErrMayHaveRun, trace.Wrap(err))
	}
	if int64(len(data)) > limit {
		return nil, errors.Join(ErrMayHaveRun, ErrTooLong)
	}
	return data, nil
}
