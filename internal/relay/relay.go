package relay

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/datagram"
)

// recordsRequest requests the changes of a topic at or after an offset.
type recordsRequest struct {
	Topic string `json:"topic"`
	From  int64  `json:"from"`
	// Long states that the requester supports long records that are relayed apart. Held are those that it
	// has.
	Long bool         `json:"long,omitempty"`
	Held []heldRecord `json:"held,omitempty"`
}

// known returns the offset of the version of a record that the requester has, or noBase.
func (r *recordsRequest) known(key string) int64 {
	for _, held := range r.Held {
		if held.Key == key {
			return held.Offset
		}
	}
	return noBase
}

// recordsResponse contains changes of a topic.
type recordsResponse struct {
	Records []relayedRecord `json:"records,omitempty"`
	Next    int64           `json:"next"`
	AgeUS   int64           `json:"age_us"` // microseconds
	// EraAgeUS is how long the copy has been of its era, in microseconds.
	EraAgeUS int64 `json:"era_age_us,omitempty"`
	// More is set if more records follow, starting at Next. Only the last response, without More, confirms
	// the state.
	More bool `json:"more,omitempty"`
	// Outdated is the latest era that the node knows of if its copy is of an earlier one; otherwise 0. There are no
	// records then.
	Outdated int64 `json:"outdated,omitempty"`
}

// Conn exchanges messages with other nodes.
type Conn interface {
	// Handle registers the handler of a method.
	Handle(method string, h datagram.Handler)
	// Call calls a method of a node. It fails with a *jsonrpc2.Error if the node refuses the call, and when
	// ctx ends without a response.
	Call(ctx context.Context, node netip.AddrPort, method string, params, result any) error
}

var _ Conn = (*datagram.Conn)(nil)

// Relay serves other nodes' requests from this node's copies.
type Relay struct {
	conn   Conn
	copies map[string]*Copy
}

// New returns a relay that serves requests on conn, which must not be running yet.
func New(conn Conn) *Relay {
	r := &Relay{conn: conn, copies: make(map[string]*Copy)}
	conn.Handle(methodRecords, handler(r, func(q *recordsRequest) string { return q.Topic }, (*Copy).serveRecords))
	conn.Handle(methodSnapshot, handler(r, func(q *snapshotRequest) string { return q.Topic }, (*Copy).serveSnapshot))
	conn.Handle(methodPart, handler(r, func(q *partRequest) string { return q.Topic }, (*Copy).servePart))
	return r
}

// handler returns a handler that decodes a request and has it served from the copy of the topic that it names. It
// fails if the request can't be decoded, or if there is no such copy.
func handler[Req any](r *Relay, topic func(*Req) string, serve func(*Copy, *Req) (any, error)) func(json.RawMessage) (any, error) {
	return func(params json.RawMessage) (any, error) {
		var req Req
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, eris.Wrap(err, "decode request")
		}
		c := r.copies[topic(&req)]
		if c == nil {
			return nil, eris.Errorf("unknown topic %q", topic(&req))
		}
		return serve(c, &req)
	}
}

// Serve serves requests for a topic from a copy. It must be called before the connection runs.
func (r *Relay) Serve(topic string, c *Copy) { r.copies[topic] = c }

func (c *Copy) serveRecords(req *recordsRequest) (any, error) {
	var known func(key string) int64
	if req.Long {
		known = req.known
	}
	result, err := c.Since(req.From, maxRecordBytes, known)
	if era, outdated := outdatedEra(err); outdated {
		return recordsResponse{AgeUS: noAge, Outdated: era}, nil
	}
	if err != nil {
		return nil, err
	}
	return recordsResponse{Records: result.records, Next: result.next, AgeUS: result.age.Microseconds(), EraAgeUS: result.eraAge.Microseconds(), More: result.more}, nil
}
