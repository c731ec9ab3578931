package forward

import (
	"errors"
	"io"

	"github.com/cherryward/cherryward/internal/hostplan"
)

const (
	// maxAnswerBytes bounds a plain answer that is buffered in full before it is delivered.
	maxAnswerBytes = 16 << 20
	// answersPart is the part of Buffers that answers may take, and answerShares the number of long answers that it
	// has room for at the same time. What can't be buffered of an answer is handed on, while a request whose body
	// can't be buffered is refused.
	answersPart  = 1.0 / 3
	answerShares = 4
	// firstBlockBytes and maxBlockBytes are the sizes of the first and the largest blocks of a buffered answer.
	firstBlockBytes = 4 << 10
	maxBlockBytes   = 64 << 10
)

// Buffers bounds the memory that the bodies of requests and answers take in buffers, over all requests of a node. A
// nil *Buffers bounds each answer alone. It is safe for concurrent use.
type Buffers struct {
	all, answers *hostplan.Pool
}

// NewBuffers returns a Buffers for at most limit bytes.
func NewBuffers(limit int64) *Buffers {
	all := hostplan.NewPool(limit)
	return &Buffers{all: all, answers: all.Part(answersPart)}
}

// Used returns the number of bytes reserved now.
func (b *Buffers) Used() int64 { return b.all.Used() }

// requests returns the pool for the bodies of requests.
func (b *Buffers) requests() *hostplan.Pool {
	if b == nil {
		return nil
	}
	return b.all
}

// reserveAnswer reserves n more bytes for an answer that has reserved held bytes. It fails if there is no room for
// them, or if the answer would take more than its share.
func (b *Buffers) reserveAnswer(held, n int64) bool {
	switch {
	case held+n > maxAnswerBytes:
		return false
	case b == nil:
		return true
	}
	return held+n <= b.answers.Limit()/answerShares && b.answers.Reserve(n)
}

func (b *Buffers) releaseAnswer(n int64) {
	if b != nil {
		b.answers.Release(n)
	}
}

// bufferedBody is the beginning of an answer's body. It must be released.
type bufferedBody struct {
	buffers  *Buffers
	blocks   [][]byte
	reserved int64
	length   int64
}

// readFrom reads r to its end, or until there is no room for more. stated is the length that the answer states, or
// -1. complete reports whether the end was reached; the error is that of r.
func (b *bufferedBody) readFrom(r io.Reader, stated int64) (complete bool, err error) {
	size := int64(firstBlockBytes)
	if stated >= 0 {
		size = min(stated+1, maxBlockBytes) // the byte more lets the end be read with the block
	}
	for b.buffers.reserveAnswer(b.reserved, size) {
		b.reserved += size
		block, err := fill(r, make([]byte, size))
		b.blocks = append(b.blocks, block)
		b.length += int64(len(block))
		switch {
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, err
		}
		size = min(2*size, maxBlockBytes)
	}
	return false, nil
}

// fill reads until the block is full, and returns what was read with the error of r. Unlike io.ReadFull it keeps the
// end of r and an unexpected end apart.
func fill(r io.Reader, block []byte) ([]byte, error) {
	for n := 0; n < len(block); {
		read, err := r.Read(block[n:])
		n += read
		if err != nil {
			return block[:n], err
		}
	}
	return block, nil
}

// writeTo writes the body to w.
func (b *bufferedBody) writeTo(w io.Writer) error {
	for _, block := range b.blocks {
		if _, err := w.Write(block); err != nil {
			return err
		}
	}
	return nil
}

// release gives the memory back. Further calls have no effect.
func (b *bufferedBody) release() {
	b.buffers.releaseAnswer(b.reserved)
	b.blocks, b.reserved = nil, 0
}
