package upstream

import (
	"errors"
	"io"
	"net/http"
)

// trackedBody records whether a body was read to its end: any unread rest would be read as the
// header of the next answer on the connection.
type trackedBody struct {
	io.ReadCloser
	reachedEOF bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.reachedEOF = b.reachedEOF || errors.Is(err, io.EOF)
	return n, err
}

// CloseDelimited reports whether only the closing of the connection marks the end of the answer's body.
func (a *Answer) CloseDelimited() bool { return a.closeDelimited }

// isCloseDelimited reports whether only the closing of the connection marks the end of resp's
// body. It is false for an answer without a body, as to HEAD.
func isCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// unlimited is the value of limitedReader.remaining after the header of the answer was read.
const unlimited = -1

// limitedReader reads from source until the remaining bytes are used up, then fails with an ExcessError.
type limitedReader struct {
	source    io.Reader
	remaining int
}

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.remaining == unlimited {
		return l.source.Read(b)
	}
	if l.remaining <= 0 {
		return 0, &ExcessError{Part: PartHeader}
	}
	if len(b) > l.remaining {
		b = b[:l.remaining]
	}
	n, err := l.source.Read(b)
	l.remaining = max(l.remaining-n, 0)
	return n, err
}
