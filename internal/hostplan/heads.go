package hostplan

import "bytes"

const (
	// freeHeadBytes is what a head of ordinary size takes. It is a part of what each connection has.
	freeHeadBytes = 8 << 10
	// A head takes bytesFactor times its size, and fieldBytes for each field, or each entry of a list in a field.
	bytesFactor = 2
	fieldBytes  = 256
)

// HeadSize is the size of the head of a request or an answer.
type HeadSize struct {
	Bytes int
	Lines int // fields, and the entries of lists in them
}

var newline = []byte("\n")

// HeadSizeOf returns the size of a text that belongs to a head.
func HeadSizeOf(text []byte) HeadSize { return HeadSize{len(text), bytes.Count(text, newline)} }

// Plus returns the size of both.
func (s HeadSize) Plus(other HeadSize) HeadSize {
	return HeadSize{s.Bytes + other.Bytes, s.Lines + other.Lines}
}

// Cost returns the memory, in bytes, that a parsed head of this size takes beyond that of an ordinary one.
func (s HeadSize) Cost() int64 {
	return max(int64(bytesFactor*s.Bytes+fieldBytes*s.Lines)-freeHeadBytes, 0)
}
