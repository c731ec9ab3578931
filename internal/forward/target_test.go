package forward

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// read returns the request with the given target as the HTTP server reads it.
func read(target string) (*http.Request, error) {
	return http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n")))
}

// TestTargetIsSentAsItCame guards against paths and queries that are encoded anew on the way to an endpoint.
func TestTargetIsSentAsItCame(t *testing.T) {
	tests := map[string]string{
		"/a/b?c=d":                     "/a/b?c=d",
		"/a|b?c=|":                     "/a|b?c=|",
		"/a%7Cb/%2f?x=%2F":             "/a%7Cb/%2f?x=%2F",
		"//a/../b":                     "//a/../b",
		"/a?u=http://other/x":          "/a?u=http://other/x",
		"http://h/a|b?c=|d":            "/a|b?c=|d",
		"http://h:80/a%2Fb":            "/a%2Fb",
		"http://h":                     "/",
		"http://h?a=b":                 "/?a=b",
		"http://user@h//a":             "//a",
		"HTTP://h/\"q\"?u=http://x/\"": "/\"q\"?u=http://x/\"",
	}
	for sent, want := range tests {
		r, err := read(sent)
		must.NoError(t, err, must.Sprint(sent))
		test.Eq(t, want, target(r), test.Sprint(sent))
	}
}

// FuzzTarget checks that a target in origin form is sent as it came, also where its absolute form arrives.
func FuzzTarget(f *testing.F) {
	for _, seed := range []string{"/", "/a|b?c=%7C", "//x?/", "/a?b=http://h/", "/%zz", "/a#b"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, sent string) {
		if !strings.HasPrefix(sent, "/") {
			return
		}
		for _, form := range []string{sent, "http://h" + sent} {
			if r, err := read(form); err == nil && r.RequestURI == form {
				must.Eq(t, sent, target(r))
			}
		}
	})
}
