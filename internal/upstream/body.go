package upstream

import (
	"errors"
	"io"
	"net/http"

	"github.com/cherryward/cherryward/internal/answerhead"
	"github.com/cherryward/cherryward/internal/requestwrite"
)

// trackedBody records whether a body was read to its end: any unread rest would be read as the
// header of the next answer on the connection.
type trackedBody struct {
	io.ReadCloser
	reachedEOF bool
	answer     *http.Response
	// endsAfter is the writing of the request, without which the body is not complete; nil if the body shows its end.
	endsAfter *requestwrite.Write
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if cutOff := b.endsAfter.Wait(); cutOff != nil {
		return n, cutOff
	}
	if malformed := answerhead.CheckNames(b.answer.Trailer); malformed != nil {
		return n, malformed
	}
	b.reachedEOF = true
	return n, err
}

// CloseDelimited reports whether only the closing of the connection marks the end of the answer's body.
func (a *Answer) CloseDelimited() bool { return a.closeDelimited }

// isCloseDelimited reports whether only the closing of the connection marks the end of resp's
// body. It is false for an answer without a body, as to HEAD.
func isCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}
