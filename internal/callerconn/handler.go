package callerconn

import (
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/cherryward/cherryward/internal/hostplan"
)

// Handler returns a handler that passes requests to next once there is memory for their heads, and otherwise to
// refuse, which must answer that the request has not run. The server must be attached to the guard.
func (g *Guard) Handler(next, refuse http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.head = sizeOf(r)
		if !c.memory.Resize(c.head.Cost()) {
			g.countRefusal(refuseNoRoom, c)
			w.Header().Set("Connection", "close")
			refuse.ServeHTTP(w, r)
			return
		}
		if r.Body == nil || r.Body == http.NoBody {
			if !g.serve(c) {
				panic(http.ErrAbortHandler)
			}
		} else {
			r.Body = &body{r.Body, c}
			if r.ContentLength < 0 || r.ContentLength > largeBody {
				c.widen()
			}
		}
		next.ServeHTTP(w, r)
	})
}

// sizeOf returns the size of a parsed head. Entries of a list in a field count as fields: they are decoded one by one.
func sizeOf(r *http.Request) hostplan.HeadSize {
	size := hostplan.HeadSize{Bytes: len(r.RequestURI), Lines: strings.Count(r.RequestURI, listSeparator)}
	for name, values := range r.Header {
		for _, value := range values {
			size.Bytes += len(name) + len(value)
			size.Lines += 1 + strings.Count(value, listSeparator)
		}
	}
	return size
}

const listSeparator = ","

// body is the body of a request. Its connection is one without a complete request until it was read to its end.
type body struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !b.conn.guard.serve(b.conn) {
		return n, net.ErrClosed
	}
	return n, err
}
