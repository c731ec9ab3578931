package forward_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test"
)

// undelivered plays raw answers, each at a new endpoint, and checks that none of their bytes reach a caller: an
// idempotent request is served by the sound endpoint, another one gets 502.
func undelivered(t *testing.T, answers map[string]string) {
	t.Helper()
	for name, text := range answers {
		for path, want := range map[string]result{recordPath: served, uploadPath: failed} {
			t.Run(name+path, func(t *testing.T) {
				h := newRawTestHandler(t, fixedAnswer(text), fixedAnswer(head(http.StatusOK, contentLength(len("sound")))+"sound"))
				got := h.do(t, http.MethodPost, path, "body", nil)
				test.Eq(t, want, seenByUpload(got), test.Sprintf("%d %q", got.status, got.body))
				test.Positive(t, h.placer.members[0].Health.FailureRate(h.handler.Clock.Now()))
			})
		}
	}
}

// statusLine replaces the status line of a whole answer of two bytes.
func statusLine(line string) string {
	_, rest, _ := strings.Cut(head(http.StatusOK, contentLength(2))+"ok", "\r\n")
	return line + "\r\n" + rest
}

// TestStatusThatIsNone guards against answers of endpoints in trouble that a caller gets as answers, or whose text passes
// for the answer after them.
func TestStatusThatIsNone(t *testing.T) {
	whole := head(http.StatusOK, contentLength(2)) + "ok"
	undelivered(t, map[string]string{
		"000":                  statusLine("HTTP/1.1 000 Trouble"),
		"000 and a body":       "HTTP/1.1 000 Trouble\r\n\r\n" + whole,
		"099 and a body":       "HTTP/1.1 099 Trouble\r\n\r\n" + whole,
		"+20 and a body":       "HTTP/1.1 +20 Trouble\r\n\r\n" + whole,
		"101 and a body":       "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n" + whole,
		"600":                  statusLine("HTTP/1.1 600 Trouble"),
		"999":                  statusLine("HTTP/1.1 999 Trouble"),
		"two digits":           statusLine("HTTP/1.1 20 OK"),
		"four digits":          statusLine("HTTP/1.1 2000 OK"),
		"two blanks":           statusLine("HTTP/1.1  200 OK"),
		"tab":                  statusLine("HTTP/1.1\t200 OK"),
		"other version":        statusLine("HTTP/9.9 200 OK"),
		"HTTP/2":               statusLine("HTTP/2.0 200 OK"),
		"other protocol":       statusLine("ICY/1.1 200 OK"),
		"NUL in the reason":    statusLine("HTTP/1.1 200 O\x00K"),
		"CR in the reason":     statusLine("HTTP/1.1 200 O\rK"),
		"empty line before it": "\r\n" + whole,
	})
}

// TestHeadThatBreaksOff guards against an empty answer that passes for a whole one.
func TestHeadThatBreaksOff(t *testing.T) {
	whole := head(http.StatusOK, contentLength(12))
	answers := make(map[string]string)
	for i := range whole {
		answers["after "+whole[max(i-8, 0):i]] = whole[:i]
	}
	undelivered(t, answers)
}

// TestFieldNameThatIsNone guards against heads of endpoints in trouble that are passed on, or whose body is read by
// another framing than the one that the endpoint meant.
func TestFieldNameThatIsNone(t *testing.T) {
	with := func(fields, body string) string { return head(http.StatusOK, fields) + body }
	chunked := chunk("ok") + lastChunk
	undelivered(t, map[string]string{
		"blank in a name":             with("X Odd: 1\r\n"+contentLength(2), "ok"),
		"blank before the colon":      with("Content-Length : 2\r\n", "ok"),
		"chunked, blank before colon": with("Transfer-Encoding : chunked\r\n", chunked),
		"tab before the colon":        with("Transfer-Encoding\t: chunked\r\n", chunked),
		"blank before the name":       with(" X-Odd: 1\r\n"+contentLength(2), "ok"),
		"control byte in a name":      with("X-\x01Odd: 1\r\n"+contentLength(2), "ok"),
		"NUL in a name":               with("X-\x00Odd: 1\r\n"+contentLength(2), "ok"),
		"not ASCII in a name":         with("X-\xe4: 1\r\n"+contentLength(2), "ok"),
		"no name":                     with(": 1\r\n"+contentLength(2), "ok"),
		"no colon":                    with("X-Odd\r\n"+contentLength(2), "ok"),
		"control byte in a value":     with("X-Odd: \x01\r\n"+contentLength(2), "ok"),
		"CR in a value":               with("X-Odd: a\rb\r\n"+contentLength(2), "ok"),
		"folded line":                 with("X-Odd: 1\r\n "+contentLength(2)+contentLength(2), "ok"),
		"in an interim response":      "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + with(contentLength(2), "ok"),
	})
}

// TestTwoFramings guards against a body that ends elsewhere for the caller than for the endpoint.
func TestTwoFramings(t *testing.T) {
	chunked := chunk("ok") + lastChunk
	undelivered(t, map[string]string{
		"length beside chunks": head(http.StatusOK, contentLength(2)+chunkedEncoding) + chunked,
		"chunks beside length": head(http.StatusOK, chunkedEncoding+contentLength(2)) + chunked,
		"chunks in HTTP/1.0":   strings.Replace(head(http.StatusOK, chunkedEncoding), "HTTP/1.1", "HTTP/1.0", 1) + chunked,
		"two lengths":          head(http.StatusOK, contentLength(2)+contentLength(3)) + "ok!",
		"length with a sign":   head(http.StatusOK, "Content-Length: +2\r\n") + "ok",
		"length of nothing":    head(http.StatusOK, "Content-Length: \r\n") + "ok",
		"another encoding":     head(http.StatusOK, "Transfer-Encoding: gzip, chunked\r\n") + chunked,
		"two encodings":        head(http.StatusOK, chunkedEncoding+chunkedEncoding) + chunked,
		"identity":             head(http.StatusOK, "Transfer-Encoding: identity\r\n") + "ok",
	})
}

// TestTrailerThatIsNone guards against chunks that end in something else than a trailer and pass for a whole body.
func TestTrailerThatIsNone(t *testing.T) {
	with := func(trailer string) string {
		return head(http.StatusOK, chunkedEncoding) + chunk("ok") + "0\r\n" + trailer + "\r\n\r\n"
	}
	undelivered(t, map[string]string{
		"blank in a name":        with("X Sum: 1"),
		"blank before the colon": with("X-Sum : 1"),
		"control byte in a name": with("X-\x01Sum: 1"),
		"no colon":               with("X-Sum"),
		"too long":               with("X-Sum: " + strings.Repeat("1", 8<<10)),
	})
}
