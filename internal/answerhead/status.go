package answerhead

import "net/http"

const (
	statusPattern = "HTTP/1.d ddd" // d stands for a digit
	digit         = 'd'
	minorAt       = len("HTTP/1.")
	codeAt        = len("HTTP/1.d ")

	maxStatus = 599 // RFC 9110, 15
)

// statusLine is the status line of a head.
type statusLine struct {
	length int // bytes so far, at most one more than the pattern
	text   [len(statusPattern)]byte
}

// add adds a byte and reports whether it may not be there.
func (s *statusLine) add(ch byte) (bad bool) {
	at := s.length
	if at < len(statusPattern) {
		s.text[at] = ch
		s.length++
		want := statusPattern[at]
		return want != ch && (want != digit || !isDigit(ch))
	}
	if at == len(statusPattern) {
		s.length++
		return ch != ' '
	}
	return !isText(ch)
}

// check checks the line at its end.
func (s *statusLine) check(bad bool) error {
	if bad || s.length < len(statusPattern) {
		return malformed("status line %q", s.text[:min(s.length, len(statusPattern))])
	}
	switch code := s.code(); {
	case code < http.StatusContinue || code > maxStatus:
		return malformed("status %03d", code)
	case code == http.StatusSwitchingProtocols:
		return malformed("another protocol, which no request asks for")
	}
	return nil
}

// interim reports whether another head follows.
func (s *statusLine) interim() bool { return s.code() < http.StatusOK }

func (s *statusLine) code() (code int) {
	for _, ch := range s.text[codeAt:] {
		code = 10*code + int(ch-'0')
	}
	return code
}

// isHTTP10 reports whether the endpoint speaks HTTP/1.0, which has no chunks.
func (s *statusLine) isHTTP10() bool { return s.text[minorAt] == '0' }

func isDigit(ch byte) bool { return '0' <= ch && ch <= '9' }

// isText reports whether a byte may be in the text of a line.
func isText(ch byte) bool { return ch == '\t' || ch >= ' ' && ch != '\x7f' }
