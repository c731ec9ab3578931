package upstream

import (
	"errors"
	"io"
	"net/http"
)

// body notes whether it was read to its end: what is left of one would be read as the
// head of the next answer.
type body struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// Unframed reports whether only the end of the connection ends the answer's body.
func (a *Answer) Unframed() bool { return a.unframed }

// unframed does not hold for an answer that has no body, as to HEAD.
func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// unlimited is the limit of a connection whose answer's head was read.
const unlimited = -1

// limitedReader reads from source until left bytes have passed.
type limitedReader struct {
	source io.Reader
	left   int
}

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.left == unlimited {
		return l.source.Read(b)
	}
	if l.left <= 0 {
		return 0, errors.New("the head of the answer is too long")
	}
	if len(b) > l.left {
		b = b[:l.left]
	}
	n, err := l.source.Read(b)
	l.left = max(l.left-n, 0)
	return n, err
}
