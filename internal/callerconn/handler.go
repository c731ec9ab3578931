package callerconn

import (
	"io"
	"net/http"
)

// Handler returns a handler that passes requests to next. The server must be attached to the guard.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		switch {
		case !ok:
		case r.Body == nil || r.Body == http.NoBody:
			g.serve(c)
		default:
			r.Body = &body{r.Body, c}
		}
		next.ServeHTTP(w, r)
	})
}

// body is the body of a request. Its connection is one without a complete request until it was read to its end.
type body struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.conn.guard.serve(b.conn)
	}
	return n, err
}
