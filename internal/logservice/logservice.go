// Package logservice is the HTTP client of the platform services of the standalone mode:
// the append-only log and the list of hosts.
package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/api/wire/hostwire"
	"github.com/cherryward/cherryward/api/wire/logwire"
	"github.com/cherryward/cherryward/coord/changelog"
	"github.com/cherryward/cherryward/internal/answerhead"
)

const (
	callTimeout      = 5 * time.Second
	maxResponseBytes = 64 << 20
	maxErrorBytes    = 4 << 10
	// offsetShift is added to the log's offsets, which start at 0. Package changelog
	// uses 0 for the offset before the first record.
	offsetShift = 1
)

// transport is shared by all clients.
var transport = answerhead.NewTransport(http.DefaultTransport.(*http.Transport).Clone())

// StatusError is a response with an error status.
type StatusError struct {
	Status int
	Reason logwire.Error
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform service responded with status %d: %s %s", e.Status, e.Reason.Code, e.Reason.Message)
}

// Log accesses one stream of the platform's log. It is safe for concurrent use.
type Log struct {
	base string // URL of the stream's records
	http *http.Client
}

var _ changelog.Log = (*Log)(nil)

// NewLog returns a client of a stream of the log service at a base URL.
func NewLog(base, stream string) *Log {
	return &Log{base: base + logwire.PathStreams + url.PathEscape(stream) + "/records", http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Append implements changelog.Log. If it fails, the record may still be in the log.
func (l *Log) Append(ctx context.Context, data []byte) (int64, error) {
	body, err := json.Marshal(logwire.AppendRequest{Data: data})
	if err != nil {
		return 0, err
	}
	var out logwire.AppendResponse
	if err := call(ctx, l.http, http.MethodPost, l.base, body, &out); err != nil {
		return 0, err
	}
	return out.Offset + offsetShift, nil
}

// Read implements changelog.Log.
func (l *Log) Read(ctx context.Context, from int64, limit int) (changelog.Batch, error) {
	query := url.Values{"from": {strconv.FormatInt(max(from-offsetShift, 0), 10)}, "max": {strconv.Itoa(limit)}}
	var out logwire.ReadResponse
	if err := call(ctx, l.http, http.MethodGet, l.base+"?"+query.Encode(), nil, &out); err != nil {
		return changelog.Batch{}, err
	}
	batch := changelog.Batch{First: out.First + offsetShift, Next: out.Next + offsetShift}
	for _, r := range out.Records {
		batch.Records = append(batch.Records, changelog.Record{Offset: r.Offset + offsetShift, Data: r.Data})
	}
	return batch, nil
}

// ErrUnchanged is returned by Hosts.List if the list has not changed since the last call.
var ErrUnchanged = errors.New("the list of hosts has not changed")

// Hosts reads the platform's list of hosts. It is not safe for concurrent use.
type Hosts struct {
	url  string
	http *http.Client
	etag string // of the last list that was read
}

// NewHosts returns a client of the host list service at a base URL.
func NewHosts(base string) *Hosts {
	return &Hosts{url: base + hostwire.PathHosts, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// List returns the current list, or ErrUnchanged if it is the one that was returned last.
// The list may be older than the actual state of the hosts.
func (h *Hosts) List(ctx context.Context) (*hostwire.List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "create platform request")
	}
	if h.etag != "" {
		req.Header.Set("If-None-Match", h.etag)
	}
	var data json.RawMessage
	resp, err := exchange(h.http, req, &data)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusNotModified {
		return nil, ErrUnchanged
	}
	list, err := decodeHosts(data)
	if err != nil {
		return nil, err
	}
	h.etag = resp.Header.Get("ETag")
	return list, nil
}

func call(ctx context.Context, client *http.Client, method, target string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "create platform request")
	}
	_, err = exchange(client, req, out)
	return err
}

// exchange sends a request and decodes the response, unless its status is 304. It returns
// a StatusError for an error status.
func exchange(client *http.Client, req *http.Request, out any) (*http.Response, error) {
	resp, err := client.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "call platform service")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return resp, nil
	}
	if resp.StatusCode/100 != 2 {
		return nil, statusError(resp)
	}
	dec := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxResponseBytes))
	return resp, eris.Wrap(dec.Decode(out), "decode response of platform service")
}

func statusError(resp *http.Response) error {
	e := &StatusError{Status: resp.StatusCode}
	// The body only has details of the error, so the status is enough without it.
	_ = json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxErrorBytes)).Decode(&e.Reason)
	return e
}
