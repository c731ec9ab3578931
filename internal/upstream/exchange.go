package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
	// maxForeign bounds the answers to other requests that are skipped before the
	// own one.
	maxForeign = 2
	// maxForeignBytes bounds the body of a skipped answer.
	maxForeignBytes = 1 << 20
	// inlineBody is the longest body that is written before the answer is awaited.
	// A longer one is written beside the reading, as an endpoint may answer early
	// and read on later.
	inlineBody = 8 << 10
)

// Stage says how far an exchange came.
type Stage int

const (
	// StageConnect: no byte of the request was sent.
	StageConnect Stage = iota
	// StageSend: the request was sent in part or whole.
	StageSend
	// StageAnswer: the head of an answer had begun to arrive.
	StageAnswer
)

// String implements fmt.Stringer.
func (s Stage) String() string {
	switch s {
	case StageConnect:
		return "connect"
	case StageSend:
		return "send"
	default:
		return "answer"
	}
}

// Error is a failed exchange.
type Error struct {
	Stage Stage
	Err   error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotRun reports whether the request certainly did not reach the endpoint.
func (e *Error) NotRun() bool { return e.Stage == StageConnect }

// Refused reports whether nothing listened at the endpoint's address.
func (e *Error) Refused() bool { return e.NotRun() && errors.Is(e.Err, syscall.ECONNREFUSED) }

// Request is a request as it is sent. Target is the path and query as the caller
// wrote them.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
}

// Answer is the head of an answer, and its body while it arrives. One of Done and
// Abort must be called.
type Answer struct {
	*http.Response
	pool  *Pool
	conn  *conn
	write <-chan error // the end of a write that was not awaited
	stop  func() bool  // detaches the connection from the context
	body  *body
	// unframed is set where only the end of the connection ends the body.
	unframed bool
}

// Do sends the request once and returns the head of its answer. own tells from an
// answer's header whether it belongs to this request. When ctx ends the connection
// is closed, which tells the endpoint to stop. The error is an *Error.
func (p *Pool) Do(ctx context.Context, req *Request, own func(http.Header) bool) (*Answer, error) {
	c, err := p.get(ctx)
	if err != nil {
		return nil, &Error{Stage: StageConnect, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	a := &Answer{pool: p, conn: c, stop: stop}
	if err := a.send(req); err != nil {
		a.Abort()
		return nil, err
	}
	if err := a.receive(req, own); err != nil {
		a.Abort()
		return nil, err
	}
	return a, nil
}

// send writes the request, or begins to where its body is long.
func (a *Answer) send(req *Request) error {
	head := encodeHead(req)
	if len(req.Body) <= inlineBody {
		head = append(head, req.Body...)
		n, err := a.conn.Write(head)
		return sendError(n, err)
	}
	if n, err := a.conn.Write(head); err != nil {
		return sendError(n, err)
	}
	done := make(chan error, 1)
	go func() {
		_, err := a.conn.Write(req.Body)
		done <- err
	}()
	a.write = done
	return nil
}

func sendError(n int, err error) error {
	switch {
	case err == nil:
		return nil
	case n == 0:
		return &Error{Stage: StageConnect, Err: err}
	default:
		return &Error{Stage: StageSend, Err: err}
	}
}

func encodeHead(req *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024 + min(len(req.Body), inlineBody))
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	// Header.Write replaces line breaks in values, and bytes.Buffer never fails.
	_ = req.Header.Write(&b)
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// receive reads heads until the one that belongs to this request.
func (a *Answer) receive(req *Request, own func(http.Header) bool) error {
	for foreign := 0; ; {
		resp, err := a.readHead(req.Method)
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue // 100 Continue and the like
		}
		if own(resp.Header) {
			a.take(resp)
			return nil
		}
		foreign++
		if foreign > maxForeign {
			return &Error{Stage: StageAnswer, Err: errors.New("only answers to other requests arrived")}
		}
		if err := skip(resp); err != nil {
			return &Error{Stage: StageAnswer, Err: err}
		}
	}
}

func (a *Answer) take(resp *http.Response) {
	a.body = &body{ReadCloser: resp.Body}
	a.unframed = unframed(resp)
	resp.Body = a.body
	a.Response = resp
}

// skip reads the body of an answer that belongs to another request.
func skip(resp *http.Response) error {
	if unframed(resp) {
		return errors.New("an answer to another request has no length")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes))
	if err == nil && n == maxForeignBytes {
		err = errors.New("an answer to another request is too long")
	}
	return err
}

func (a *Answer) readHead(method string) (*http.Response, error) {
	a.conn.limit.left = maxHeadBytes
	if _, err := a.conn.reader.Peek(1); err != nil {
		return nil, &Error{Stage: StageSend, Err: err}
	}
	resp, err := http.ReadResponse(a.conn.reader, &http.Request{Method: method})
	if err != nil {
		return nil, &Error{Stage: StageAnswer, Err: err}
	}
	a.conn.limit.left = unlimited
	return resp, nil
}

// Done ends an answer, and keeps the connection if that is sound: where the body
// was read to its end, and nothing more has come.
func (a *Answer) Done() {
	if !a.reusable() {
		a.Abort()
		return
	}
	if !a.stop() {
		return // the context ended and closed it
	}
	a.pool.put(a.conn, keepFor(a.Header))
}

func (a *Answer) reusable() bool {
	if a.Close || !a.body.ended || a.conn.reader.Buffered() > 0 {
		return false
	}
	if a.write == nil {
		return true
	}
	select {
	case err := <-a.write:
		return err == nil
	default:
		return false // answered before the body was read
	}
}

// Abort closes the connection, which tells the endpoint to stop.
func (a *Answer) Abort() {
	a.stop()
	a.conn.Close()
}

// keepFor returns how long the endpoint keeps an idle connection, less a margin
// for a request that is sent just before.
func keepFor(h http.Header) time.Duration {
	const (
		margin   = 0.7  // share of the stated time that is used
		mostKept = 3600 // seconds; a longer time would overflow
	)
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		if s, err := strconv.ParseFloat(value, 64); err == nil && !math.IsNaN(s) {
			return time.Duration(max(min(s, mostKept), 0) * margin * float64(time.Second))
		}
	}
	return idleLimit
}
