package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzAnswerBytes sends raw bytes in response to a request and checks that they end in an error, or in the status, the
// fields and the body that a strict reader finds in the same bytes.
func FuzzAnswerBytes(f *testing.F) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, seed := range []string{
		ok + "Content-Length: 2\r\n\r\nok",
		ok + "\r\nok",
		ok + "Transfer-Encoding: chunked\r\n\r\n2;x=1\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n",
		ok + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		ok + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
		ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		ok + "X-A: 1\r\n folded\r\n\r\n",
		ok + "X A: 1\nX-\x01: 2\n\nok",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 101 Switching\r\n\r\n" + ok + "\r\n",
		"HTTP/1.1 000 Trouble\r\n\r\n" + ok + "\r\n",
		"HTTP/1.1 204\r\n\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		status, header, body, err := exchangeRaw(t.Context(), text)
		if err != nil {
			return
		}
		want, found := readStrictly(text)
		must.True(t, found, must.Sprintf("no answer by a strict reader, but status %d with %q", status, body))
		must.Eq(t, want.status, status)
		must.Eq(t, want.body, body)
		must.Eq(t, want.names, header)
	})
}

// exchangeRaw sends a request to an endpoint that sends text and closes. It returns what the answer holds.
func exchangeRaw(ctx context.Context, text string) (status int, names []string, body string, err error) {
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
			_, _ = io.WriteString(server, text) // fails if the client has closed
		}
	}()
	p := NewPool("endpoint", Options{Connect: func(context.Context, string, string) (net.Conn, error) { return client, nil }})
	a, err := p.Do(ctx, &Request{Method: http.MethodGet, Target: "/", Host: "h"}, acceptAny)
	if err != nil {
		return 0, nil, "", err
	}
	defer a.Abort()
	data, err := io.ReadAll(a.Body)
	for name := range a.Header {
		names = append(names, name)
	}
	slices.Sort(names)
	return a.StatusCode, names, string(data), err
}

// strictAnswer is an answer as a strict reader finds it. The names are those of its fields, but for the framing of chunks.
type strictAnswer struct {
	status int
	names  []string
	body   string
}

var (
	strictStatus = regexp.MustCompile(`^HTTP/1\.([0-9]) ([1-5][0-9][0-9])(?: [\t\x20-\x7e\x{80}-\x{ff}]*)?\r?\n`)
	strictField  = regexp.MustCompile("^([A-Za-z0-9!#$%&'*+\\-.^_`|~]+):([\\t\\x20-\\x7e\\x{80}-\\x{ff}]*)\\r?\\n")
	strictEnd    = regexp.MustCompile(`^\r?\n`)
	strictChunk  = regexp.MustCompile(`^([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n`)
)

// latin returns text with one rune for each byte, so that patterns match bytes.
func latin(text string) string {
	runes := make([]rune, len(text))
	for i := range len(text) {
		runes[i] = rune(text[i])
	}
	return string(runes)
}

// bytesOf is the inverse of latin.
func bytesOf(text string) string {
	var out []byte
	for _, r := range text {
		out = append(out, byte(r))
	}
	return string(out)
}

func readStrictly(text string) (a strictAnswer, found bool) {
	rest := latin(text)
	for {
		line := strictStatus.FindStringSubmatch(rest)
		if line == nil {
			return a, false
		}
		rest = rest[len(line[0]):]
		fields := make(http.Header)
		for !strictEnd.MatchString(rest) {
			field := strictField.FindStringSubmatch(rest)
			if field == nil {
				return a, false
			}
			fields.Add(field[1], strings.Trim(field[2], " \t"))
			rest = rest[len(field[0]):]
		}
		rest = rest[len(strictEnd.FindString(rest)):]
		a.status, _ = strconv.Atoi(line[2])
		switch {
		case a.status == http.StatusSwitchingProtocols:
			return a, false
		case a.status >= http.StatusOK:
			return strictBody(a, line[1], fields, rest)
		}
	}
}

// strictBody reads the body after a head.
func strictBody(a strictAnswer, minor string, fields http.Header, rest string) (strictAnswer, bool) {
	encodings, lengths := fields["Transfer-Encoding"], slices.Compact(fields["Content-Length"])
	hasBody := a.status != http.StatusNoContent && a.status != http.StatusNotModified
	found := true
	switch {
	case len(encodings) > 0 && (len(lengths) > 0 || len(encodings) > 1 || minor == "0" || !strings.EqualFold(encodings[0], "chunked")), len(lengths) > 1:
		return a, false
	case !hasBody:
	case len(encodings) > 0:
		a.body, found = strictChunks(rest)
	case len(lengths) > 0:
		n, err := strconv.ParseUint(lengths[0], 10, 63)
		runes := []rune(rest)
		if err != nil || uint64(len(runes)) < n {
			return a, false
		}
		a.body = bytesOf(string(runes[:n]))
	default:
		a.body = bytesOf(rest)
	}
	delete(fields, "Transfer-Encoding")
	for name := range fields {
		a.names = append(a.names, name)
	}
	slices.Sort(a.names)
	return a, found
}

// strictChunks reads a body in chunks, with its trailer.
func strictChunks(rest string) (body string, found bool) {
	for {
		line := strictChunk.FindStringSubmatch(rest)
		if line == nil {
			return "", false
		}
		rest = rest[len(line[0]):]
		size, err := strconv.ParseUint(line[1], 16, 63)
		if err != nil {
			return "", false
		}
		if size == 0 {
			break
		}
		runes := []rune(rest)
		if uint64(len(runes)) < size+2 || string(runes[size:size+2]) != "\r\n" {
			return "", false
		}
		body += bytesOf(string(runes[:size]))
		rest = string(runes[size+2:])
	}
	for !strictEnd.MatchString(rest) {
		field := strictField.FindString(rest)
		if field == "" {
			return "", false
		}
		rest = rest[len(field):]
	}
	return body, true
}
