package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/cherryward/cherryward/internal/answerhead"
)

// trackedBody records whether a body was read to its end: any unread rest would be read as the
// header of the next answer on the connection.
type trackedBody struct {
	io.ReadCloser
	reachedEOF bool
	answer     *http.Response
	// endsAfter is the writing of the request, without which the body is not complete; nil if the body shows its end.
	endsAfter *bodyWrite
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.endsAfter != nil {
		if cause := b.endsAfter.wait(); cause != nil {
			return n, &CutOffError{Err: cause}
		}
	}
	if malformed := answerhead.CheckNames(b.answer.Trailer); malformed != nil {
		return n, malformed
	}
	b.reachedEOF = true
	return n, err
}

// CutOffError reports that the connection failed before the endpoint had taken the whole request, and that nothing but
// the end of the connection marks the end of the answer. The answer may be a part of what the endpoint meant to send.
type CutOffError struct{ Err error }

// Error implements error.
func (e *CutOffError) Error() string {
	return fmt.Sprintf("answer without a length ended before its request was sent: %v", e.Err)
}

// Unwrap returns the error of writing the request.
func (e *CutOffError) Unwrap() error { return e.Err }

// bodyWrite is the writing of a request's body while the answer is read. A connection reports a reset once only: the
// write may get the error, and the read the end of the answer.
type bodyWrite struct {
	done chan struct{}
	err  error // valid once done is closed
}

// startWrite writes body to w in the background.
func startWrite(w io.Writer, body []byte) *bodyWrite {
	b := &bodyWrite{done: make(chan struct{})}
	go func() {
		defer close(b.done)
		_, b.err = w.Write(body)
	}()
	return b
}

// wait returns the result of the write. It ends with the connection at the latest.
func (b *bodyWrite) wait() error {
	<-b.done
	return b.err
}

// succeeded reports whether the whole body was written. It does not wait.
func (b *bodyWrite) succeeded() bool {
	select {
	case <-b.done:
		return b.err == nil
	default:
		return false
	}
}

// CloseDelimited reports whether only the closing of the connection marks the end of the answer's body.
func (a *Answer) CloseDelimited() bool { return a.closeDelimited }

// isCloseDelimited reports whether only the closing of the connection marks the end of resp's
// body. It is false for an answer without a body, as to HEAD.
func isCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}
