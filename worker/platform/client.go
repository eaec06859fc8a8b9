package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/lupinkeel/lupinkeel/lib/dial"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/models"
)

// Errors of calls to the platform.
var (
	// ErrRejected: the platform reported that it did not carry out the call.
	ErrRejected = errors.New("the platform refused")
	// ErrUnknown: the platform's response was lost; the call may have taken effect.
	ErrUnknown = errors.New("no answer from the platform")
	// ErrExpired: the log no longer holds the offset.
	ErrExpired = errors.New("the log no longer holds this offset")
)

const (
	callTimeout    = 2 * time.Second
	maxResponseLen = 16 << 20
)

// Client calls the platform's log and instance list.
type Client struct {
	log  netip.AddrPort
	list netip.AddrPort
	http *http.Client
}

// NewClient returns a client of the log and the instance list at the given addresses.
func NewClient(log, list netip.AddrPort, dialer dial.Dialer) *Client {
	transport := &http.Transport{MaxResponseHeaderBytes: h1.MaxHeadBytes, DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	return &Client{log: log, list: list, http: &http.Client{Transport: transport}}
}

// Append appends one record to a stream. It returns ErrRejected if the log did not accept the
// record, and ErrUnknown if it may have.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (models.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/log/%s", c.log, stream)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, trace.Wrap(errors.Join(ErrUnknown, err))
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode == http.StatusServiceUnavailable:
		return 0, trace.Wrap(fmt.Errorf("%w: append: %s", ErrRejected, resp.Status))
	case resp.StatusCode != http.StatusOK:
		return 0, trace.Wrap(fmt.Errorf("%w: append: %s", ErrUnknown, resp.Status))
	}
	var response AppendResponse
	if err := decodeJSON(resp.Body, &response); err != nil {
		return 0, trace.Wrap(errors.Join(ErrUnknown, err))
	}
	return response.Offset, nil
}

// Read reads the stream from the offset on. If there are no entries yet, it waits for the given
// time. For an offset that the log no longer holds it returns ErrExpired and sets First in the
// response.
func (c *Client) Read(ctx context.Context, stream string, from models.Offset, wait time.Duration) (ReadResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	var response ReadResponse
	url := fmt.Sprintf("http://%s/log/%s?from=%d&wait=%s", c.log, stream, from, wait)
	status, err := c.getJSON(ctx, url, &response)
	if err != nil {
		return ReadResponse{}, err
	}
	if status == http.StatusGone {
		return response, trace.Wrap(fmt.Errorf("%w: offset %d, first is %d", ErrExpired, from, response.First))
	}
	return response, nil
}

// Instances returns the platform's list of instances.
func (c *Client) Instances(ctx context.Context) ([]models.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var response ListResponse
	_, err := c.getJSON(ctx, fmt.Sprintf("http://%s/instances", c.list), &response)
	return response.Instances, err
}

func (c *Client) getJSON(ctx context.Context, url string, out any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return resp.StatusCode, trace.Wrap(fmt.Errorf("%w: %s", ErrRejected, resp.Status))
	}
	return resp.StatusCode, trace.Wrap(decodeJSON(resp.Body, out))
}

func decodeJSON(body io.Reader, out any) error {
	return json.NewDecoder(io.LimitReader(body, maxResponseLen)).Decode(out)
}
