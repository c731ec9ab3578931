// Package answerhead checks the heads of HTTP/1 answers byte by byte, before a parser sees them.
//
// Guarantee: what passes a Reader as a head is one to every reader (RFC 9112): a status line with a status that HTTP
// knows, fields whose names are tokens, no control bytes, and at most one framing of the body. The parser of net/http
// forgives more, so that a proxy behind it would pass on what the endpoint never sent as an answer.
//
// The checker knows nothing of bodies; its user says where a head is due.
package answerhead

import "fmt"

// MaxBytes bounds the heads that come for one request: that of the answer and those of the responses before it.
const MaxBytes = 64 << 10

// MalformedError reports that an endpoint sent something else where a head is due. What it sent is no answer.
type MalformedError struct{ Reason string }

// Error implements error.
func (e *MalformedError) Error() string { return "malformed answer: " + e.Reason }

// malformed returns a MalformedError.
func malformed(format string, args ...any) error {
	return &MalformedError{Reason: fmt.Sprintf(format, args...)}
}

// checker checks heads as their bytes arrive. The zero value expects a status line.
type checker struct {
	status   statusLine
	field    fieldLine
	framing  framing
	inFields bool // the status line is over
	endsInCR bool // the last byte was a CR, which only a LF may follow
	bad      bool // the present line holds a byte that may not be there
}

// scan checks the next bytes. It returns how many of them belong to the head and to the interim responses before it, and
// whether the head is complete. A line is judged at its end, so one without an end is only stopped by its length.
func (c *checker) scan(b []byte) (used int, complete bool, err error) {
	for i, ch := range b {
		if ch != '\n' {
			c.add(ch)
			continue
		}
		complete, err = c.endLine()
		if complete || err != nil {
			return i + 1, complete, err
		}
	}
	return len(b), false, nil
}

// add checks a byte within a line.
func (c *checker) add(ch byte) {
	c.bad = c.bad || c.endsInCR
	if ch == '\r' {
		c.endsInCR = true
		return
	}
	if c.inFields {
		c.bad = c.field.add(ch) || c.bad
	} else {
		c.bad = c.status.add(ch) || c.bad
	}
}

// endLine checks a line as a whole and reports whether it ends the answer's head.
func (c *checker) endLine() (complete bool, err error) {
	field, bad := c.field, c.bad
	c.field, c.endsInCR, c.bad = fieldLine{}, false, false
	switch {
	case !c.inFields:
		c.inFields = true
		return false, c.status.check(bad)
	case field.isEmpty() && !bad:
		return c.endHead()
	}
	return false, field.check(bad, &c.framing)
}

// endHead checks a head as a whole. Another one follows an interim response.
func (c *checker) endHead() (complete bool, err error) {
	interim := c.status.interim()
	err = c.framing.check(&c.status)
	*c = checker{}
	return !interim && err == nil, err
}
