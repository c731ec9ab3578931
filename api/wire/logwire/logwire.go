// Package logwire defines the messages of the platform's append-only log service.
package logwire

// PathStreams is the root of the log's HTTP resources:
// POST {stream}/records appends, GET {stream}/records?from=N&max=M&wait_ms=W reads.
const PathStreams = "/v1/streams/"

// AppendRequest appends one record. If the connection is lost before the response arrives, the
// record may or may not have been appended.
type AppendRequest struct {
	Data []byte `json:"data"`
}

// AppendResponse returns the offset of the appended record.
type AppendResponse struct {
	Offset int64 `json:"offset"`
}

// Record is one record of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// ReadResponse holds consecutive records in order of offset. First is the oldest retained
// offset, Next the offset of the next append.
type ReadResponse struct {
	Records []Record `json:"records"`
	First   int64    `json:"first"`
	Next    int64    `json:"next"`
}

// Error is the body of an error response. Code is "rate" (too many appends), "unavailable"
// (outage) or "too_large".
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}
