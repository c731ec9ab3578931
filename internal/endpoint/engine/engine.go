// Package engine is the client of the model engines' HTTP protocol. Only this package depends on
// the wire format; other packages use its typed calls.
//
// Guarantee: the error of Start states whether the engine may have begun the run. Its run state is
// not_run only if no connection could be made or the engine stated so.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/answerhead"
	"github.com/cherryward/cherryward/internal/result"
)

const (
	dialTimeout      = 1 * time.Second
	maxIdlePerHost   = 256
	maxResponseBytes = 64 << 20
	// transportBufferBytes is the size of the read and write buffers of each connection, one of
	// which is used by each open run. Frames are short, and a long prompt is written without
	// buffering.
	transportBufferBytes = 1 << 10
	mediaTypeJSON        = "application/json"
	mediaTypeEventStream = "text/event-stream"
	controlDeadline      = 10 * time.Second
)

// Client calls engines over HTTP. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client that keeps idle connections to many engines.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		ReadBufferSize:      transportBufferBytes,
		WriteBufferSize:     transportBufferBytes,
	}
	return &Client{http: &http.Client{Transport: answerhead.NewTransport(transport)}}
}

// Start starts a run and returns its stream.
func (c *Client) Start(ctx context.Context, base string, req *enginewire.RunRequest) (*Stream, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, result.Wrap(err, result.Internal, result.WithRunState(result.NotRun))
	}
	return c.stream(ctx, http.MethodPost, base+enginewire.PathRuns, body)
}

// Resume streams a run that the engine holds, starting at an output token offset.
func (c *Client) Resume(ctx context.Context, base, run string, offset int) (*Stream, error) {
	target := base + enginewire.PathRun + url.PathEscape(run) + "?from=" + strconv.Itoa(offset)
	return c.stream(ctx, http.MethodGet, target, nil)
}

// Cancel ends a run. Canceling a run that has ended is not an error.
func (c *Client) Cancel(ctx context.Context, base, run string) error {
	err := c.call(ctx, http.MethodDelete, base+enginewire.PathRun+url.PathEscape(run), nil, nil)
	if CodeOf(err) == enginewire.ErrRunUnknown {
		return nil
	}
	return err
}

// State returns the engine's full state, including its block ids.
func (c *Client) State(ctx context.Context, base string) (*enginewire.State, error) {
	return get[enginewire.State](ctx, c, base+enginewire.PathState)
}

// WeightsClient is a client whose State omits the block ids, for callers that need only the loaded
// weights: block ids make up most of a state's size.
type WeightsClient struct{ *Client }

// State returns the engine's state without block ids.
func (w WeightsClient) State(ctx context.Context, base string) (*enginewire.State, error) {
	return get[enginewire.State](ctx, w.Client, base+enginewire.PathState+"?blocks=false")
}

// Load returns the engine's own load report, which lags behind its actual load.
func (c *Client) Load(ctx context.Context, base string) (*enginewire.Load, error) {
	return get[enginewire.Load](ctx, c, base+enginewire.PathLoad)
}

// Events returns the cache events after the sequence number since. If there are none, it waits for
// at most wait.
func (c *Client) Events(ctx context.Context, base string, since uint64, wait time.Duration) (*enginewire.Events, error) {
	query := "?since=" + strconv.FormatUint(since, 10) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	return get[enginewire.Events](ctx, c, base+enginewire.PathEvents+query)
}

// Export makes the engine write blocks to a store host. It must not be repeated with the
// same block names.
func (c *Client) Export(ctx context.Context, base string, req *enginewire.TransferRequest) (*enginewire.TransferResponse, error) {
	return post[enginewire.TransferResponse](ctx, c, base+enginewire.PathExport, req)
}

// Import makes the engine read blocks from a store host. It is safe to repeat.
func (c *Client) Import(ctx context.Context, base string, req *enginewire.TransferRequest) (*enginewire.TransferResponse, error) {
	return post[enginewire.TransferResponse](ctx, c, base+enginewire.PathImport, req)
}

// Order sends an order to the engine. It is safe to repeat with the same fencing token. After an
// error it is unknown whether the order took effect until State has been read.
func (c *Client) Order(ctx context.Context, base string, order *enginewire.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPost, base+enginewire.PathOrders, body, nil)
}

func get[T any](ctx context.Context, c *Client, target string) (*T, error) {
	out := new(T)
	return out, c.call(ctx, http.MethodGet, target, nil, out)
}

func post[T any](ctx context.Context, c *Client, target string, req any) (*T, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	out := new(T)
	return out, c.call(ctx, http.MethodPost, target, body, out)
}

// call sends one request and decodes the JSON answer into out, which may be nil.
func (c *Client) call(ctx context.Context, method, target string, body []byte, out any) error {
	resp, err := c.do(ctx, method, target, mediaTypeJSON, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if out == nil {
		return nil
	}
	dec := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxResponseBytes))
	return eris.Wrap(dec.Decode(out), "decode engine response")
}

func (c *Client) stream(ctx context.Context, method, target string, body []byte) (*Stream, error) {
	resp, err := c.do(ctx, method, target, mediaTypeEventStream, body)
	if err != nil {
		return nil, err
	}
	return NewStream(resp.Body), nil
}

func (c *Client) do(ctx context.Context, method, target, accept string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, result.Wrap(err, result.EndpointUnreachable)
	}
	req.Header.Set("Accept", accept)
	if body != nil {
		req.Header.Set("Content-Type", mediaTypeJSON)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, transportError(err)
	}
	if resp.StatusCode/100 != 2 {
		defer resp.Body.Close()
		return nil, refusalError(resp)
	}
	return resp, nil
}

// transportError converts a transport error. Only a failed dial is known not to have reached the
// engine: after any other error, a part of the request may have arrived.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.Wrap(err, result.EndpointUnreachable)
	}
	return result.Wrap(err, result.EndpointFailed)
}

// RefusedError is an error response of the engine, with any status but 2xx.
type RefusedError struct {
	Status int
	Reason enginewire.Error
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "engine refused request: " + string(e.Reason.Code) + ": " + e.Reason.Message
}

// CodeOf returns the engine's error code from err's chain, or "" if there is none.
func CodeOf(err error) enginewire.ErrorCode {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Reason.Code
	}
	return ""
}

// refusalError returns a RefusedError for the response, with run state not_run only if the engine
// stated so.
func refusalError(resp *http.Response) error {
	refused := &RefusedError{Status: resp.StatusCode}
	dec := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxResponseBytes))
	if err := dec.Decode(&refused.Reason); err != nil {
		refused.Reason = enginewire.Error{Code: enginewire.ErrInternal, Message: resp.Status}
	}
	state := result.MayHaveRun
	if refused.Reason.NotRun {
		state = result.NotRun
	}
	return result.Wrap(refused, result.EndpointRejected, result.WithRunState(state))
}
