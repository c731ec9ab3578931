package answerhead

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cherryward/cherryward/internal/requestwrite"
)

// transport is an http.RoundTripper that checks the heads of answers.
type transport struct{ base *http.Transport }

// NewTransport returns a RoundTripper that sends requests by base, whose dialer it replaces. A malformed answer is an
// error, after which the request may have run. Over TLS only names and status are checked, once base has parsed them.
func NewTransport(base *http.Transport) http.RoundTripper {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newConn(raw), nil
	}
	base.MaxResponseHeaderBytes = MaxBytes
	return &transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var sent atomic.Pointer[requestwrite.Write]
	var used atomic.Pointer[conn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { // again if base sends the request on another connection
			if c, ok := info.Conn.(*conn); ok {
				used.Store(c)
				sent.Store(requestwrite.New())
				c.expectAnswer(sent.Load())
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { sent.Load().End(info.Err) },
	}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, used.Load().headError(err)
	}
	if err := checkParsed(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that no request uses; http.Client calls it.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// checkParsed checks what can be seen of a head once it is parsed.
func checkParsed(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return malformed("status %03d", resp.StatusCode)
	}
	return CheckNames(resp.Header)
}
