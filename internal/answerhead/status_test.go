package answerhead

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
)

// readAll reads one head and what follows it from text, as it would arrive in pieces of any size.
func readAll(t *testing.T, text string) (string, error) {
	t.Helper()
	r := NewReader(strings.NewReader(text), nil)
	r.ExpectAnswer(nil)
	whole, err := io.ReadAll(r)
	slow := NewReader(iotest.OneByteReader(strings.NewReader(text)), nil)
	slow.ExpectAnswer(nil)
	pieces, slowErr := io.ReadAll(slow)
	must.Eq(t, err == nil, slowErr == nil, must.Sprintf("in pieces: %v, at once: %v", slowErr, err))
	if err == nil {
		must.Eq(t, string(whole), string(pieces))
	}
	return string(whole), err
}

func TestStatusLines(t *testing.T) {
	tests := []struct {
		line string
		ok   bool
	}{
		{"HTTP/1.1 200 OK", true},
		{"HTTP/1.0 200 OK", true},
		{"HTTP/1.1 200 ", true},
		{"HTTP/1.1 200", true}, // some servers leave out the blank
		{"HTTP/1.1 599 \xe4\tb", true},
		{"HTTP/1.1 000 OK", false},
		{"HTTP/1.1 099 OK", false},
		{"HTTP/1.1 101 Switching Protocols", false},
		{"HTTP/1.1 600 OK", false},
		{"HTTP/1.1 +20 OK", false},
		{"HTTP/1.1 2000", false},
		{"HTTP/1.1 20", false},
		{"HTTP/2.0 200 OK", false},
		{"HTTP/1.1  200 OK", false},
		{"HTTP/1.1 200 O\x00K", false},
		{"HTTP/1.1 200 O\x7fK", false},
		{"HTTP/1.1 200 O\rK", false},
		{"http/1.1 200 OK", false},
		{"", false},
	}
	for _, tc := range tests {
		for _, end := range []string{"\r\n", "\n"} {
			text := tc.line + end + end + "body"
			got, err := readAll(t, text)
			must.Eq(t, tc.ok, err == nil, must.Sprintf("%q: %v", tc.line, err))
			if tc.ok {
				must.Eq(t, text, got)
			}
		}
	}
}

// TestHeadAfterInterimResponseIsChecked guards against a head that is passed on unread after an interim response.
func TestHeadAfterInterimResponseIsChecked(t *testing.T) {
	const hints = "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"
	_, err := readAll(t, hints+"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000")
	must.NoError(t, err)
	_, err = readAll(t, hints+"HTTP/1.1 000 Trouble\r\n\r\n")
	must.Error(t, err)
}

// TestLimitHoldsForAllHeads guards against heads that are each short enough and together have no end.
func TestLimitHoldsForAllHeads(t *testing.T) {
	interim := "HTTP/1.1 100 Continue\r\nX-A: " + strings.Repeat("a", MaxBytes/3) + "\r\n\r\n"
	r := NewReader(strings.NewReader(strings.Repeat(interim, 3)), nil)
	r.ExpectAnswer(nil)
	_, err := io.ReadAll(iotest.OneByteReader(r))
	must.ErrorIs(t, err, ErrTooLong)
	_, err = r.Read(make([]byte, 1))
	must.ErrorIs(t, err, ErrTooLong)
}

// TestBytesAfterHeadStayForTheBody guards against the beginning of a body, or of a later head, being taken for a part of
// the head.
func TestBytesAfterHeadStayForTheBody(t *testing.T) {
	const first, body, second = "HTTP/1.1 200 OK\r\n\r\n", "b\x00dy", "HTTP/1.1 404 Not Found\r\n\r\n"
	r := NewReader(strings.NewReader(first+body+second), nil)
	r.ExpectAnswer(nil)
	buffer := make([]byte, 2*MaxBytes)
	n, err := r.Read(buffer)
	must.NoError(t, err)
	must.Eq(t, first, string(buffer[:n]))
	must.Eq(t, len(body+second), r.Pending())
	n, err = r.Read(buffer[:len(body)+2])
	must.NoError(t, err)
	must.Eq(t, body+second[:2], string(buffer[:n]))
	r.ExpectAnother([]byte(second[:2]))
	rest, err := io.ReadAll(r)
	must.NoError(t, err)
	must.Eq(t, second, string(rest))
}
