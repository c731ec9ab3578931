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

// grow makes room for at least one byte. While a buffer is copied, its memory is reserved beside that of the next one.
func (a *ServiceAnswer) grow() error {
	held := cap(a.Body)
	if len(a.Body) < held {
		return nil
	}
	wanted := min(max(2*held, firstBodyBytes), maxAnswerBytes+1)
	if !a.memory.Resize(int64(held + wanted)) {
		return errNoMemory
	}
	a.Body = append(make([]byte, 0, wanted), a.Body...)
	a.memory.Resize(int64(wanted))
	return nil
}
