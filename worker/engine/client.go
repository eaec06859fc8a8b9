package engine

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
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// Errors of calls to an engine.
var (
	// ErrFenced: the engine has seen a newer fence.
	ErrFenced = errors.New("the instance has seen a newer fence")
	// ErrUnexpectedResponse: the engine responded with an unexpected status or body.
	ErrUnexpectedResponse = errors.New("unexpected response from the instance")
	// ErrWrongInstance: another instance answers at the address.
	ErrWrongInstance = errors.New("another instance answers at this address")
)

const maxStatusLen = 64 << 10

// Client probes engines and sends them orders.
type Client struct{ http *http.Client }

// NewClient returns a client whose calls share connections.
func NewClient(dialer dial.Dialer) *Client {
	transport := &http.Transport{
		MaxResponseHeaderBytes: h1.MaxHeadBytes, DialContext: dialer.DialContext,
		MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute,
		DisableCompression: true,
	}
	return &Client{http: &http.Client{Transport: transport}}
}

// Status returns the status of the instance, or ErrWrongInstance if another instance answers.
func (c *Client) Status(ctx context.Context, id models.InstanceID, addr netip.AddrPort) (types.EngineStatus, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/status", addr), nil)
	if err != nil {
		return types.EngineStatus{}, trace.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return types.EngineStatus{}, trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return types.EngineStatus{}, trace.Wrap(fmt.Errorf("%w: status: %s", ErrUnexpectedResponse, resp.Status))
	}
	var status types.EngineStatus
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusLen)).Decode(&status); err != nil {
		return types.EngineStatus{}, trace.Wrap(errors.Join(ErrUnexpectedResponse, err))
	}
	if status.Instance != id {
		return types.EngineStatus{}, trace.Wrap(fmt.Errorf("%w: %s instead of %s", ErrWrongInstance, status.Instance, id))
	}
	return status, nil
}

// Send sends the order. It returns ErrFenced if the instance rejected the order as too old.
func (c *Client) Send(ctx context.Context, addr netip.AddrPort, order types.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/orders", addr), bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	// Without GetBody the transport can't resend an order that may have been sent.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return trace.Wrap(ErrFenced)
	default:
		return trace.Wrap(fmt.Errorf("%w: order: %s", ErrUnexpectedResponse, resp.Status))
	}
}
