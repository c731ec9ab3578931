package calls

import (
	"errors"
	"io"
)

// firstBodyBytes is the size of the first buffer of a body.
const firstBodyBytes = 4 << 10

var (
	errAnswerTooLong = errors.New("answer is too long")
	errNoMemory      = errors.New("no memory for the answer")
)

// readBody reads the body from r to its end and reserves the memory for it. It fails if there is none, or if the body
// has more than maxAnswerBytes.
func (a *ServiceAnswer) readBody(r io.Reader) error {
	for {
		if err := a.grow(); err != nil {
			return err
		}
		n, err := r.Read(a.Body[len(a.Body):cap(a.Body)])
		a.Body = a.Body[:len(a.Body)+n]
		switch {
		case len(a.Body) > maxAnswerBytes:
			return errAnswerTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// grow makes room for at least one byte.
func (a *ServiceAnswer) grow() error {
	held := cap(a.Body)
	if len(a.Body) < held {
		return nil
	}
	wanted := min(max(2*held, firstBodyBytes), maxAnswerBytes+1)
	grown, ok := a.memory.Grow(a.Body, wanted)
	if !ok {
		return errNoMemory
	}
	a.Body = grown
	return nil
}
