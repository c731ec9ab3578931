package forward

import (
	"net/http"
	"strings"
)

// schemeEnd ends the scheme of a target in absolute form.
const schemeEnd = "://"

// rawPath returns the path as the caller sent it, without decoding.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(target(r), "?")
	return path
}

// target returns the path and query as the caller sent them, without decoding. Of a target in absolute form, such as
// http://host/path, it leaves out the scheme and the host.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	scheme, rest, absolute := strings.Cut(r.RequestURI, schemeEnd)
	if !absolute || scheme == "" || strings.ContainsAny(scheme, "/?") {
		return r.URL.RequestURI()
	}
	start := strings.IndexAny(rest, "/?")
	switch {
	case start < 0:
		return "/"
	case rest[start] == '?':
		return "/" + rest[start:]
	}
	return rest[start:]
}
