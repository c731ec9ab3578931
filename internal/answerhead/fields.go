package answerhead

import (
	"net/http"
	"strings"
	"unicode"
)

const (
	transferEncoding = "transfer-encoding"
	contentLength    = "content-length"

	// keptBytes is how much of a name is kept: enough to tell the longest of those that matter from all others.
	keptBytes = len(transferEncoding) + 1
)

// fieldLine is a line of a head after the status line. The zero value is an empty one.
type fieldLine struct {
	name    [keptBytes]byte // in lower case
	length  int             // of the name
	inValue bool            // the colon has come
}

// add adds a byte and reports whether it may not be there. Blanks in a name, before the colon, or at the start of a line
// have other readers see other fields, or none.
func (f *fieldLine) add(ch byte) (bad bool) {
	switch {
	case f.inValue:
		return !isText(ch)
	case ch == ':':
		f.inValue = true
		return f.length == 0
	}
	if f.length < keptBytes {
		f.name[f.length] = lower(ch)
	}
	f.length++
	return !isTokenByte(ch)
}

// check checks the line at its end, and notes in framing what it says of the body.
func (f *fieldLine) check(bad bool, framing *framing) error {
	name := f.name[:min(f.length, keptBytes)]
	if bad || !f.inValue {
		return malformed("header field %q", string(name))
	}
	switch string(name) {
	case transferEncoding:
		framing.encoded = true
	case contentLength:
		framing.sized = true
	}
	return nil
}

// isEmpty reports whether the line has no bytes.
func (f *fieldLine) isEmpty() bool { return f.length == 0 && !f.inValue }

// framing is what a head says of the end of its body.
type framing struct{ encoded, sized bool }

// check checks the framing of a whole head. Readers differ in which of two framings they follow, and in whether a
// server that speaks HTTP/1.0 can send chunks.
func (f *framing) check(status *statusLine) error {
	switch {
	case f.encoded && f.sized:
		return malformed("a length beside a transfer encoding")
	case f.encoded && status.isHTTP10():
		return malformed("a transfer encoding in HTTP/1.0")
	}
	return nil
}

// CheckNames returns a MalformedError if a name in h, such as that of a trailer, is no token.
func CheckNames(h http.Header) error {
	for name := range h {
		if !isToken(name) {
			return malformed("field %q", name)
		}
	}
	return nil
}

func isToken(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(r rune) bool { return r > unicode.MaxASCII || !isTokenByte(byte(r)) })
}

func lower(ch byte) byte {
	if 'A' <= ch && ch <= 'Z' {
		return ch + ('a' - 'A')
	}
	return ch
}

// isTokenByte reports whether a byte may be in a name (RFC 9110, 5.6.2).
func isTokenByte(ch byte) bool {
	return isDigit(ch) || 'a' <= lower(ch) && lower(ch) <= 'z' || strings.IndexByte("!#$%&'*+-.^_`|~", ch) >= 0
}
