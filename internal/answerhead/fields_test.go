package answerhead

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestFieldLines(t *testing.T) {
	tests := []struct {
		line string
		ok   bool
	}{
		{"X-A: b", true},
		{"X-A:b", true},
		{"X-A:", true},
		{"x!#$%&'*+-.^_`|~1: \t\"\xe4\xf6\" ", true},
		{"X A: b", false},
		{"X-A : b", false},
		{"X-A\t: b", false},
		{" X-A: b", false},
		{"\tX-A: b", false},
		{"X\x00A: b", false},
		{"X\x1bA: b", false},
		{"X\x7fA: b", false},
		{"X\xe4: b", false},
		{"X(A): b", false},
		{": b", false},
		{"X-A", false},
		{"X-A: b\x00", false},
		{"X-A: b\x1f", false},
		{"X-A: b\x7f", false},
		{"X-A: b\rc", false},
		{"\rX-A: b", false},
		{"\r", false},
		{"X-A: b\r\n folded", false},
	}
	for _, tc := range tests {
		text := "HTTP/1.1 200 OK\r\n" + tc.line + "\r\nX-B: c\r\n\r\n"
		got, err := readAll(t, text)
		must.Eq(t, tc.ok, err == nil, must.Sprintf("%q: %v", tc.line, err))
		if tc.ok {
			must.Eq(t, text, got)
		}
	}
}

func TestFraming(t *testing.T) {
	const chunked, length = "tRANSFER-eNCODING: chunked\r\n", "cONTENT-lENGTH: 3\r\n"
	tests := []struct {
		status, fields string
		ok             bool
	}{
		{"HTTP/1.1 200 OK", chunked, true},
		{"HTTP/1.1 200 OK", length, true},
		{"HTTP/1.0 200 OK", length, true},
		{"HTTP/1.0 200 OK", "", true},
		{"HTTP/1.1 200 OK", length + "Transfer-Encodings: chunked\r\n", true},
		{"HTTP/1.1 103 Early Hints", length + "\r\nHTTP/1.1 200 OK\r\n" + chunked, true},
		{"HTTP/1.1 200 OK", chunked + length, false},
		{"HTTP/1.1 200 OK", length + chunked, false},
		{"HTTP/1.0 200 OK", chunked, false},
	}
	for _, tc := range tests {
		_, err := readAll(t, tc.status+"\r\n"+tc.fields+"\r\n")
		must.Eq(t, tc.ok, err == nil, must.Sprintf("%s %q: %v", tc.status, tc.fields, err))
	}
}
