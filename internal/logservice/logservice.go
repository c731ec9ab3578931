// Package logservice speaks HTTP to the outside services of the standalone mode: the
// append-only log and the list of hosts.
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
)

const (
	callTimeout  = 5 * time.Second
	maxAnswer    = 64 << 20
	maxErrorBody = 4 << 10
	// firstOffset is added to the log's offsets, which begin at 0: to the
	// library, 0 is the offset before the first record.
	firstOffset = 1
)

// RefusedError is a service's answer other than success.
type RefusedError struct {
	Status int
	Reason logwire.Error
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("platform refused with status %d: %s %s", e.Status, e.Reason.Code, e.Reason.Message)
}

// Log is one stream of the platform's log. It is safe for concurrent use.
type Log struct {
	base string // URL of the stream's records
	http *http.Client
}

var _ changelog.Log = (*Log)(nil)

// NewLog returns the stream of that name.
func NewLog(base, stream string) *Log {
	return &Log{base: base + logwire.PathStreams + url.PathEscape(stream) + "/records", http: &http.Client{Timeout: callTimeout}}
}

// Append implements changelog.Log. After an error the record may be in the log.
func (l *Log) Append(ctx context.Context, data []byte) (int64, error) {
	body, err := json.Marshal(logwire.AppendRequest{Data: data})
	if err != nil {
		return 0, err
	}
	var out logwire.AppendResponse
	if err := call(ctx, l.http, http.MethodPost, l.base, body, &out); err != nil {
		return 0, err
	}
	return out.Offset + firstOffset, nil
}

// Read implements changelog.Log.
func (l *Log) Read(ctx context.Context, from int64, limit int) (changelog.Batch, error) {
	query := url.Values{"from": {strconv.FormatInt(max(from-firstOffset, 0), 10)}, "max": {strconv.Itoa(limit)}}
	var out logwire.ReadResponse
	if err := call(ctx, l.http, http.MethodGet, l.base+"?"+query.Encode(), nil, &out); err != nil {
		return changelog.Batch{}, err
	}
	batch := changelog.Batch{First: out.First + firstOffset, Next: out.Next + firstOffset}
	for _, r := range out.Records {
		batch.Records = append(batch.Records, changelog.Record{Offset: r.Offset + firstOffset, Data: r.Data})
	}
	return batch, nil
}

// ErrUnchanged means that the list of hosts has the version that is known.
var ErrUnchanged = errors.New("the list of hosts has not changed")

// Hosts reads the platform's list of hosts. It is not safe for concurrent use.
type Hosts struct {
	url  string
	http *http.Client
	tag  string // of the list read last
}

// NewHosts returns a reader of the list at a base URL.
func NewHosts(base string) *Hosts {
	return &Hosts{url: base + hostwire.PathHosts, http: &http.Client{Timeout: callTimeout}}
}

// List returns the present list, which lags behind the truth, or ErrUnchanged
// where it is the one that was returned last.
func (h *Hosts) List(ctx context.Context) (*hostwire.List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "platform request")
	}
	if h.tag != "" {
		req.Header.Set("If-None-Match", h.tag)
	}
	out := new(hostwire.List)
	resp, err := exchange(h.http, req, out)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusNotModified {
		return nil, ErrUnchanged
	}
	h.tag = resp.Header.Get("ETag")
	return out, nil
}

func call(ctx context.Context, client *http.Client, method, target string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "platform request")
	}
	_, err = exchange(client, req, out)
	return err
}

// exchange sends a request and decodes its answer, unless that is 304.
func exchange(client *http.Client, req *http.Request, out any) (*http.Response, error) {
	resp, err := client.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "call platform")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return resp, nil
	}
	if resp.StatusCode/100 != 2 {
		return nil, refused(resp)
	}
	dec := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxAnswer))
	return resp, eris.Wrap(dec.Decode(out), "decode platform's answer")
}

func refused(resp *http.Response) error {
	e := &RefusedError{Status: resp.StatusCode}
	// The body only explains the status; without one the status stands alone.
	_ = json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxErrorBody)).Decode(&e.Reason)
	return e
}
