package forward_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// forwarded is a request as an endpoint reads it that accepts nothing but the plainest form.
type forwarded struct {
	method, target, host, id string
	body                     string
}

// strictEndpoint is an endpoint that reads requests strictly and records them.
type strictEndpoint struct {
	mu       sync.Mutex
	requests []forwarded
	invalid  error // a request that is not in the plainest form
}

// serve answers the requests on a connection.
func (e *strictEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	for r := bufio.NewReader(conn); ; {
		if _, err := r.Peek(1); err != nil {
			return // the node closed the connection
		}
		request, err := readStrictly(r)
		e.mu.Lock()
		if err != nil {
			e.invalid = errors.Join(e.invalid, err)
		} else {
			e.requests = append(e.requests, request)
		}
		e.mu.Unlock()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal\r\nContent-Length: 0\r\n\r\n", request.id)
	}
}

// readLine reads a line that ends with CR and LF and holds no other control character.
func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	text, ended := strings.CutSuffix(line, "\r\n")
	if !ended || strings.ContainsFunc(text, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }) {
		return "", fmt.Errorf("line %q", line)
	}
	return text, nil
}

// readStrictly reads a request with one line for each field and, if any, a body with one length.
func readStrictly(r *bufio.Reader) (f forwarded, err error) {
	line, err := readLine(r)
	if err != nil {
		return f, err
	}
	words := strings.Split(line, " ")
	if len(words) != 3 || words[2] != "HTTP/1.1" || !strings.HasPrefix(words[1], "/") {
		return f, fmt.Errorf("request line %q", line)
	}
	f.method, f.target = words[0], words[1]
	once := make(map[string]string)
	for {
		if line, err = readLine(r); err != nil {
			return f, err
		}
		if line == "" {
			break
		}
		name, value, found := strings.Cut(line, ":")
		name = strings.ToLower(name)
		if !found || name == "" || strings.ContainsAny(name, " \t") {
			return f, fmt.Errorf("field %q", line)
		}
		switch name {
		case "host", "content-length", "x-attempt-id":
			if _, twice := once[name]; twice {
				return f, fmt.Errorf("second field %q", line)
			}
			once[name] = strings.TrimSpace(value)
		case "transfer-encoding", "connection", "upgrade", "trailer", "te", "keep-alive", "proxy-connection":
			return f, fmt.Errorf("field of one connection %q", line)
		}
	}
	f.host, f.id = once["host"], once["x-attempt-id"]
	if length := once["content-length"]; length != "" {
		size, err := strconv.ParseUint(length, 10, 20)
		if err != nil {
			return f, err
		}
		body := make([]byte, size)
		if _, err := io.ReadFull(r, body); err != nil {
			return f, err
		}
		f.body = string(body)
	}
	return f, nil
}

const callerBytesTimeout = 2 * time.Second

// lastRequest has the server close the connection.
const lastRequest = "GET /unknown HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n\r\n"

// sendCallerBytes sends bytes to a handler as a caller does that is done with sending, and checks what comes out on both
// sides.
func sendCallerBytes(t testing.TB, sent string) []forwarded {
	endpoint := &strictEndpoint{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // closed
			}
			go endpoint.serve(conn)
		}
	}()
	h := &testHandler{}
	h.start(t, []string{listener.Addr().String()})
	defer h.server.Close()
	conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	must.NoError(t, conn.SetDeadline(time.Now().Add(callerBytesTimeout)))
	_, _ = io.WriteString(conn, sent+lastRequest) // fails if the server refuses it
	for r := bufio.NewReader(conn); ; {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			break // the connection has ended, or the server waits for more
		}
		if resp.StatusCode >= 200 && resp.StatusCode < 300 {
			must.Eq(t, "seal", resp.Header.Get("X-Server-Seal"), must.Sprint("a success that no endpoint gave"))
		}
		if _, err = io.Copy(io.Discard, resp.Body); err != nil {
			break
		}
	}
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	must.NoError(t, endpoint.invalid)
	for _, f := range endpoint.requests {
		must.StrContains(t, sent, f.id)
		must.StrContains(t, sent, f.method)
		must.StrContains(t, sent+lastRequest, f.target)
	}
	return endpoint.requests
}

// callerHead is the start of a request's head, to which fields are added.
const callerHead = " /record/a HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + key + "\r\nX-Deadline-Ms: 300\r\nX-Attempt-Id: r1\r\n"

const smuggled = "GET /record/smuggled HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + key + "\r\nX-Attempt-Id: r2\r\n\r\n"

// callerBytes are requests that two parsers may read differently, and the bodies of those that are forwarded.
var callerBytes = map[string]struct {
	sent   string
	bodies []string // of the forwarded requests; nil if none is
}{
	"plain":                     {"GET" + callerHead + "\r\n", []string{""}},
	"length":                    {"POST" + callerHead + "Content-Length: 2\r\n\r\nab", []string{"ab"}},
	"chunks":                    {"POST" + callerHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", []string{"ab"}},
	"same length twice":         {"POST" + callerHead + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab", []string{"ab"}},
	"two lengths":               {"POST" + callerHead + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", nil},
	"length with a sign":        {"POST" + callerHead + "Content-Length: +2\r\n\r\nab", nil},
	"negative length":           {"POST" + callerHead + "Content-Length: -2\r\n\r\nab", nil},
	"chunked twice":             {"POST" + callerHead + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n" + smuggled, nil},
	"identity":                  {"POST" + callerHead + "Transfer-Encoding: identity\r\nContent-Length: 2\r\n\r\nab", nil},
	"space before the colon":    {"POST" + callerHead + "Content-Length : 2\r\n\r\nab", nil},
	"NUL in a value":            {"GET" + callerHead + "X-A: b\x00c\r\n\r\n", nil},
	"CR in a value":             {"GET" + callerHead + "X-A: b\rc\r\n\r\n", nil},
	"no host":                   {"GET /record/a HTTP/1.1\r\nX-Attempt-Id: r1\r\n\r\n", nil},
	"two hosts":                 {"GET" + callerHead + "Host: other\r\n\r\n", nil},
	"chunk size of 17 digits":   {"POST" + callerHead + "Transfer-Encoding: chunked\r\n\r\n10000000000000002\r\nab\r\n0\r\n\r\n", nil},
	"chunk size with a prefix":  {"POST" + callerHead + "Transfer-Encoding: chunked\r\n\r\n0x2\r\nab\r\n0\r\n\r\n", nil},
	"HTTP/2 preface":            {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", nil},
	"version 0.9":               {"GET /record/a\r\n", nil},
	"connect":                   {"CONNECT " + host + ":80 HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: r1\r\nAuthorization: Bearer " + key + "\r\n\r\n", nil},
	"options of the server":     {"OPTIONS * HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: r1\r\n\r\n", nil},
	"other expectation":         {"GET" + callerHead + "Expect: 200-maybe\r\n\r\n", nil},
	"upgrade":                   {"GET" + callerHead + "Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n", []string{""}},
	"connection lists the id":   {"GET" + callerHead + "Connection: X-Attempt-Id, Host, Authorization\r\n\r\n", []string{""}},
	"request inside a body":     {"POST" + callerHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(smuggled)) + smuggled, []string{smuggled}},
	"length beside chunks":      {"POST" + callerHead + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", []string{"ab"}},
	"bare LF":                   {"GET" + strings.ReplaceAll(callerHead, "\r\n", "\n") + "\n", []string{""}},
	"folded field":              {"GET" + callerHead + "X-A: b\r\n c\r\n\r\n", []string{""}},
	"trailer":                   {"POST" + callerHead + "Trailer: X-Attempt-Id\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-Attempt-Id: r2\r\n\r\n", []string{"ab"}},
	"chunk extension":           {"POST" + callerHead + "Transfer-Encoding: chunked\r\n\r\n2;a=\"b\"\r\nab\r\n0\r\n\r\n", []string{"ab"}},
	"pipelined":                 {"GET" + callerHead + "\r\n" + smuggled, []string{"", ""}},
	"absolute target":           {"GET http://" + host + "/record/a HTTP/1.1\r\nHost: other\r\nX-Attempt-Id: r1\r\nAuthorization: Bearer " + key + "\r\n\r\n", []string{""}},
	"ids twice":                 {"GET" + callerHead + "X-Attempt-Id: r1\r\n\r\n", []string{""}},
	"two ids":                   {"GET" + callerHead + "X-Attempt-Id: r2\r\n\r\n", nil},
	"control in the target":     {"GET /record/\x01 HTTP/1.1\r\nHost: " + host + "\r\n\r\n", nil},
	"bytes beyond ASCII":        {"GET /record/\xff\xfe HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: r1\r\nAuthorization: Bearer " + key + "\r\n\r\n", []string{""}},
	"expects to be continued":   {"POST" + callerHead + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nab", []string{"ab"}},
	"HTTP/1.0":                  {"GET /record/a HTTP/1.0\r\nHost: " + host + "\r\nX-Attempt-Id: r1\r\nAuthorization: Bearer " + key + "\r\n\r\n", []string{""}},
	"HTTP/1.0 in chunks":        {"POST /record/a HTTP/1.0\r\nHost: " + host + "\r\nX-Attempt-Id: r1\r\nAuthorization: Bearer " + key + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", nil},
	"LF ends a chunk size":      {"POST" + callerHead + "Transfer-Encoding: chunked\r\n\r\n2\nab\r\n0\r\n\r\n", nil},
	"lengths listed in a field": {"POST" + callerHead + "Content-Length: 2, 2\r\n\r\nab", nil},
}

// TestRequestsAreReadInOneWay guards against requests that this node and an endpoint read differently, and against
// successes that no endpoint gave.
func TestRequestsAreReadInOneWay(t *testing.T) {
	for name, tc := range callerBytes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var bodies []string
			for _, f := range sendCallerBytes(t, tc.sent) {
				bodies = append(bodies, f.body)
			}
			must.Eq(t, tc.bodies, bodies)
		})
	}
}

// FuzzCallerBytes guards against bytes that make this node send an endpoint anything but a plain request of the caller.
func FuzzCallerBytes(f *testing.F) {
	for _, tc := range callerBytes {
		f.Add(tc.sent)
	}
	f.Fuzz(func(t *testing.T, sent string) { sendCallerBytes(t, sent) })
}
