package modelserver

import (
	"fmt"
	"net"
	"net/http"
	"strings"
)

// Endless is a form of bytes that are no answer and that a server sends in response to a request until its client
// closes the connection.
type Endless int

// The forms, by the place at which the bytes have no end.
const (
	NotEndless       Endless = iota
	EndlessInterim           // interim responses before the answer
	EndlessGarbage           // no header
	EndlessHeader            // fields of the header
	EndlessRefusal           // body of a refusal
	StalledRefusal           // body of a refusal, of which nothing more comes
	EndlessError             // body of a server's own error
	EndlessChunks            // body in chunks
	EndlessUnsized           // body without a length
	EndlessEvent             // event of a stream
	EndlessComments          // comments of a stream
	EndlessAfterward         // after a complete answer, on a connection that is kept open
	endlessForms
)

// EndlessForms are all forms.
func EndlessForms() []Endless {
	var all []Endless
	for form := NotEndless + 1; form < endlessForms; form++ {
		all = append(all, form)
	}
	return all
}

// String implements fmt.Stringer.
func (e Endless) String() string {
	return [...]string{
		NotEndless: "none", EndlessInterim: "interim", EndlessGarbage: "garbage", EndlessHeader: "header",
		EndlessRefusal: "refusal", StalledRefusal: "stalled refusal", EndlessError: "error", EndlessChunks: "chunks",
		EndlessUnsized: "unsized", EndlessEvent: "event", EndlessComments: "comments", EndlessAfterward: "afterward",
	}[e]
}

// Refuses reports whether the server refuses the request, so that it does not run.
func (e Endless) Refuses() bool { return e == EndlessRefusal || e == StalledRefusal }

// endlessBlockBytes is about the number of bytes of one write.
const endlessBlockBytes = 32 << 10

var endlessChunk = "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"

// endlessText returns what is sent once and what is repeated without end in response to a request with the given id, in
// the form that faults select; the latter is empty if nothing follows.
func (s *Server) endlessText(faults *Faults, id string) (first, repeated string) {
	head := func(status int, fields ...string) string {
		fields = append(fields, "X-Attempt-Id: "+id, "X-Server-Seal: seal-"+s.cfg.ID)
		return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s\r\n%s\r\n", status, http.StatusText(status), strings.Join(fields, "\r\n"), faults.signalLines())
	}
	const chunked, stream, refused = "Transfer-Encoding: chunked", "Content-Type: text/event-stream", "X-Not-Executed: 1"
	switch faults.Endless {
	case EndlessInterim:
		return "", "HTTP/1.1 100 Continue\r\n\r\n"
	case EndlessGarbage:
		return "", "\x93\x00\xff&"
	case EndlessHeader:
		return "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"
	case EndlessRefusal:
		return head(http.StatusServiceUnavailable, refused, chunked), endlessChunk
	case StalledRefusal:
		return head(http.StatusServiceUnavailable, refused, "Content-Length: 8"), ""
	case EndlessError:
		return head(http.StatusInternalServerError, chunked), endlessChunk
	case EndlessUnsized:
		return head(http.StatusOK), "x"
	case EndlessEvent:
		return head(http.StatusOK, stream) + "data: ", "x"
	case EndlessComments:
		return head(http.StatusOK, stream), ": x\n\n"
	case EndlessAfterward:
		kind, body := "text/plain", fmt.Sprintf(plainFormat, s.cfg.ID, id)
		if s.cfg.Model != "" {
			kind, body = "text/event-stream", s.allEvents()
		}
		return head(http.StatusOK, "Content-Type: "+kind, fmt.Sprint("Content-Length: ", len(body))) + body, "x"
	default:
		return head(http.StatusOK, chunked), endlessChunk
	}
}

// allEvents returns a complete stream.
func (s *Server) allEvents() string {
	var b strings.Builder
	for i := 1; i <= s.cfg.StreamEvents; i++ {
		fmt.Fprintf(&b, eventFormat, i, i)
	}
	return b.String()
}

// serveEndless sends bytes of the form that faults select until the client closes the connection.
func (s *Server) serveEndless(w http.ResponseWriter, faults *Faults, id string) {
	first, repeated := s.endlessText(faults, id)
	if repeated == "" {
		serveRaw(w, first)
		return
	}
	conn := hijack(w)
	defer conn.Close()
	block := []byte(strings.Repeat(repeated, endlessBlockBytes/len(repeated)))
	for text := []byte(first); ; text = block {
		n, err := conn.Write(text)
		s.endlessBytes.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// serveRaw sends a text as it is, and nothing more until the client closes the connection.
func serveRaw(w http.ResponseWriter, text string) {
	conn := hijack(w)
	defer conn.Close()
	_, _ = conn.Write([]byte(text))   // fails if the client has closed
	_, _ = conn.Read(make([]byte, 1)) // returns when the client closes
}

// hijack takes over the connection of a response.
func hijack(w http.ResponseWriter) net.Conn {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // the stand-in speaks HTTP/1.1 only
	}
	return conn
}

// EndlessBytes returns the number of bytes sent in endless forms that clients have received, or that wait in the
// buffers of the connections.
func (s *Server) EndlessBytes() int64 { return s.endlessBytes.Load() }
