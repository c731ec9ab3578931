package relay

import (
	"cmp"
	"context"
	"net/netip"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

// maxParts bounds the parts of a long value.
const maxParts = maxValueBytes/partBytes + 1

// maxHeldBytes bounds the records that a request names. The others are sent whole when they change.
const maxHeldBytes = 4 << 10

// heldRecords returns the long records of this node of which changes are to be told, as many as a request has room
// for.
func (t *Topic) heldRecords() []heldRecord {
	if t.Own == nil || t.requestWhole {
		return nil
	}
	held := t.Own.held()
	slices.SortFunc(held, func(a, b heldRecord) int { return cmp.Compare(a.Key, b.Key) })
	bytes := 0
	for i := range held {
		if bytes += len(held[i].Key) + recordOverhead; bytes > maxHeldBytes {
			return held[:i]
		}
	}
	return held
}

// complete obtains the long values of a response from the node that sent it. If one can't be decoded, the
// next request asks for whole values.
func (t *Topic) complete(ctx context.Context, reader netip.AddrPort, r *recordsResponse) error {
	for i := range r.Records {
		record := &r.Records[i]
		if record.Long == nil {
			continue
		}
		value, err := t.longValue(ctx, reader, record)
		t.requestWhole = err != nil
		if err != nil {
			return eris.Wrapf(err, "read record %q", record.Key)
		}
		record.Value, record.Long = value, nil
	}
	return nil
}

// longValue obtains and decodes a long value.
func (t *Topic) longValue(ctx context.Context, reader netip.AddrPort, record *relayedRecord) ([]byte, error) {
	long := record.Long
	if record.Value != nil || record.Deflated != nil {
		return nil, eris.New("it has two values")
	}
	base, err := t.base(record.Key, long.Base)
	if err != nil {
		return nil, err
	}
	data := long.Data
	if len(data) == 0 {
		if data, err = t.readParts(ctx, reader, record); err != nil {
			return nil, err
		}
	}
	return decodeValue(data, base, long.Digest)
}

// base returns the version of this node's record that is needed to decode a value; nil if none is.
func (t *Topic) base(key string, offset int64) ([]byte, error) {
	if offset == noBase {
		return nil, nil
	}
	if t.Own != nil {
		if value := t.Own.value(key, offset); value != nil {
			return value, nil
		}
	}
	return nil, eris.Errorf("it is based on offset %d, which this node doesn't have", offset)
}

// readParts requests the parts of a value one after the other, so that a value takes no more of the sender's
// link at once than a message.
func (t *Topic) readParts(ctx context.Context, reader netip.AddrPort, record *relayedRecord) ([]byte, error) {
	if record.Long.Parts < 1 || record.Long.Parts > maxParts {
		return nil, eris.Errorf("it has %d parts", record.Long.Parts)
	}
	var data []byte
	for part := range record.Long.Parts {
		request := partRequest{Topic: t.Name, Key: record.Key, Offset: record.Offset, Base: record.Long.Base, Part: part}
		response, err := t.readRecordPart(ctx, reader, request)
		if err != nil {
			return nil, err
		}
		data = append(data, response.Data...)
	}
	return data, nil
}

// readRecordPart requests a part, again if the response is lost or the node is busy.
func (t *Topic) readRecordPart(ctx context.Context, reader netip.AddrPort, request partRequest) (response partResponse, err error) {
	err = t.callAgain(ctx, reader, methodPart, request, &response, func(refusal *jsonrpc2.Error) bool {
		return refusal.Message == errReplaced.Error()
	})
	return response, err
}
