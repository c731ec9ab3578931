package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/cherryward/cherryward/internal/answerhead"
	"github.com/cherryward/cherryward/internal/requestwrite"
)

const (
	// maxSkippedAnswers bounds the answers to other requests that are skipped before this request's
	// answer.
	maxSkippedAnswers = 2
	// maxSkippedBytes bounds the body of a skipped answer.
	maxSkippedBytes = 1 << 20
	// maxInlineBody is the largest body that is written before reading the answer. A larger one is
	// written concurrently, since an endpoint may answer early and read the rest later.
	maxInlineBody = 8 << 10
)

// Stage is the stage that an exchange had reached when it failed.
type Stage int

const (
	// StageConnect means that no byte of the request was sent.
	StageConnect Stage = iota
	// StageSend means that at least a part of the request was sent.
	StageSend
	// StageAnswer means that the header of an answer had begun to arrive.
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

// Error is the error of a failed exchange.
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

// ConnectionRefused reports whether the connection was refused, so that nothing listened at the
// endpoint's address.
func (e *Error) ConnectionRefused() bool { return e.NotRun() && errors.Is(e.Err, syscall.ECONNREFUSED) }

// Request is a request to send. Target is the path and query as the caller sent them, without
// decoding.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
}

// Answer is an answer whose header has been read and whose body is read from the connection. Either
// Done or Abort must be called.
type Answer struct {
	*http.Response
	pool   *Pool
	conn   *conn
	write  *requestwrite.Write // of a body that is written while the answer is read; nil if there is none
	detach func() bool         // detaches the connection from the context; false if the context ended first
	body   *trackedBody
	// closeDelimited is set if only the closing of the connection marks the end of the body.
	closeDelimited bool
}

// OwnFunc reports from an answer's header whether the answer belongs to the request that was sent last on its
// connection. fresh is true if the connection has carried no other request, whose answer could be late.
type OwnFunc func(h http.Header, fresh bool) bool

// Do sends the request once and returns the header of its answer, which is the first one that isOwn accepts. When ctx ends, the connection is closed, which
// signals the endpoint to stop. Every error is an *Error.
func (p *Pool) Do(ctx context.Context, req *Request, isOwn OwnFunc) (*Answer, error) {
	c, err := p.get(ctx)
	if err != nil {
		return nil, &Error{Stage: StageConnect, Err: err}
	}
	detach := context.AfterFunc(ctx, func() { c.Close() })
	a := &Answer{pool: p, conn: c, detach: detach}
	if err := a.send(req); err != nil {
		a.Abort()
		return nil, err
	}
	if err := a.receive(req, isOwn); err != nil {
		a.Abort()
		return nil, err
	}
	return a, nil
}

// send writes the request. A body larger than maxInlineBody is written in the background.
func (a *Answer) send(req *Request) error {
	head := encodeHeader(req)
	if len(req.Body) <= maxInlineBody {
		head = append(head, req.Body...)
		n, err := a.conn.Write(head)
		return sendError(n, err)
	}
	if n, err := a.conn.Write(head); err != nil {
		return sendError(n, err)
	}
	a.write = requestwrite.New()
	go func() {
		_, err := a.conn.Write(req.Body)
		a.write.End(err)
	}()
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

func encodeHeader(req *Request) []byte {
	var b bytes.Buffer
	b.Grow(1024 + min(len(req.Body), maxInlineBody))
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	// Header.Write replaces line breaks in values, and bytes.Buffer never fails.
	_ = req.Header.Write(&b)
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// receive reads answers until the one that belongs to this request.
func (a *Answer) receive(req *Request, isOwn OwnFunc) error {
	a.conn.expectHead(a.conn.heads.ExpectAnswer)
	for skipped := 0; ; {
		resp, err := a.readHeader(req.Method)
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue // an interim response such as 100 Continue
		}
		if isOwn(resp.Header, !a.conn.used) {
			a.accept(resp)
			return nil
		}
		skipped++
		if skipped > maxSkippedAnswers {
			return &Error{Stage: StageAnswer, Err: &ExcessError{Part: PartOtherAnswers}}
		}
		if err := skipBody(resp); err != nil {
			return &Error{Stage: StageAnswer, Err: err}
		}
		a.conn.expectHead(a.conn.heads.ExpectAnother)
	}
}

func (a *Answer) accept(resp *http.Response) {
	a.body = &trackedBody{ReadCloser: resp.Body, answer: resp}
	a.closeDelimited = isCloseDelimited(resp)
	if a.closeDelimited {
		a.body.endsAfter = a.write
	}
	resp.Body = a.body
	a.Response = resp
}

// skipBody reads and discards the body of an answer to another request. It fails if only the
// closing of the connection marks the end of the body, or if the body has maxSkippedBytes or more.
func skipBody(resp *http.Response) error {
	if isCloseDelimited(resp) {
		return errors.New("answer to another request has no length")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes))
	if err == nil && n == maxSkippedBytes {
		err = &ExcessError{Part: PartOtherAnswers}
	}
	return err
}

// readHeader reads the header of one response.
func (a *Answer) readHeader(method string) (*http.Response, error) {
	if _, err := a.conn.reader.Peek(1); err != nil {
		return nil, a.headerError(StageSend, err)
	}
	resp, err := http.ReadResponse(a.conn.reader, &http.Request{Method: method})
	if err != nil {
		return nil, a.headerError(StageAnswer, err)
	}
	return resp, nil
}

// headerError returns the error of an exchange in which reading a header failed with err, once the given stage was
// reached.
func (a *Answer) headerError(reached Stage, err error) *Error {
	switch failed := a.conn.heads.Err(); {
	case failed == nil:
		return &Error{Stage: reached, Err: err}
	case errors.Is(failed, answerhead.ErrTooLong), errors.Is(failed, answerhead.ErrNoMemory):
		return &Error{Stage: StageAnswer, Err: &ExcessError{Part: PartHeader}}
	default:
		return &Error{Stage: StageAnswer, Err: failed}
	}
}

// Discard ends an answer whose body is not needed. It keeps the connection for reuse if the rest of the body has at
// most maxBytes and arrives within the given time; otherwise it closes it. It returns an ExcessError if the body is
// longer, and the error of the connection if that fails.
func (a *Answer) Discard(maxBytes int64, within time.Duration) error {
	_ = a.conn.SetDeadline(time.Now().Add(within)) // if this fails, so does the read
	n, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxBytes+1))
	if err == nil && n > maxBytes {
		err = &ExcessError{Part: PartBody}
	}
	if err != nil {
		a.Abort()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		return err
	}
	_ = a.conn.SetDeadline(time.Time{}) // if this fails, so does the next read
	a.Done()
	return nil
}

// Done ends an answer. It keeps the connection for reuse only if the body was read to its end and
// no further bytes have arrived; otherwise it closes it.
func (a *Answer) Done() {
	if !a.reusable() {
		a.Abort()
		return
	}
	a.conn.heads.Release()
	if !a.detach() {
		return // the context ended and closed the connection
	}
	a.pool.keep(a.conn, reuseTimeout(a.Header))
}

func (a *Answer) reusable() bool {
	if a.Close || !a.body.reachedEOF || a.conn.buffered() > 0 {
		return false
	}
	return a.write.Succeeded() // otherwise the endpoint answered before the request body was written
}

// Abort closes the connection, which signals the endpoint to stop.
func (a *Answer) Abort() {
	a.conn.heads.Release()
	a.detach()
	a.conn.Close()
}
