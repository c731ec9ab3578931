package relay

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/binary"
	"errors"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/cherryward/cherryward/internal/follow"
)

const (
	// methodSnapshot is the name of the method. Calls may be repeated.
	methodSnapshot = "node.snapshot"
	// snapshotChunkBytes is the size of the compressed snapshot in one response. Encoded it takes four
	// thirds of that in a message.
	snapshotChunkBytes = 11 << 10
	// snapshotLifetime is how long a snapshot is served before a newer one is made. Making one for
	// thousands of records takes some tens of ms.
	snapshotLifetime = time.Second
	// snapshotRetry is the time between two attempts to get a snapshot, and minSnapshotRetry that between the
	// first ones.
	snapshotRetry    = 250 * time.Millisecond
	minSnapshotRetry = 10 * time.Millisecond
	// chunkAttempts is how often each part of a snapshot is requested: responses may be lost, or refused
	// while their sender's share of its link is used up.
	chunkAttempts = 4
	// maxSnapshotBytes bounds a decompressed snapshot.
	maxSnapshotBytes = 64 << 20
)

// errOtherSnapshot is returned if a part belongs to another snapshot than the parts before it.
var errOtherSnapshot = errors.New("relay: snapshot was replaced")

// snapshotRequest requests a part of the newest snapshot of a topic, or of the one that ends at Next.
type snapshotRequest struct {
	Topic string `json:"topic"`
	Part  int    `json:"part"`
	Next  int64  `json:"next,omitempty"`
}

// snapshotResponse is a part of a snapshot.
type snapshotResponse struct {
	Next  int64 `json:"next"`
	Parts int   `json:"parts"`
	// First is the offset from which on the snapshot shows removed keys.
	First int64 `json:"first"`
	AgeUS int64 `json:"age_us"` // microseconds since the snapshot was current
	// EraAgeUS is how long the copy has been of its era, in microseconds.
	EraAgeUS int64  `json:"era_age_us,omitempty"`
	Data     []byte `json:"data"`
	// Outdated is that of recordsResponse. There are no parts then.
	Outdated int64 `json:"outdated,omitempty"`
}

// snapshot is the compressed state of a copy.
type snapshot struct {
	first, next int64
	confirmedAt time.Time
	eraAt       time.Time
	madeAt      time.Time
	data        []byte
}

func (s *snapshot) parts() int {
	return max((len(s.data)+snapshotChunkBytes-1)/snapshotChunkBytes, 1)
}

// part returns one part of the compressed state.
func (s *snapshot) part(number int) []byte {
	from := number * snapshotChunkBytes
	return s.data[from:min(from+snapshotChunkBytes, len(s.data))]
}

func (c *Copy) serveSnapshot(req *snapshotRequest) (any, error) {
	s, err := c.snapshotAt(req.Next)
	if era, outdated := outdatedEra(err); outdated {
		return snapshotResponse{AgeUS: noAge, Outdated: era}, nil
	}
	if err != nil {
		return nil, err
	}
	if req.Part < 0 || req.Part >= s.parts() {
		return nil, eris.Errorf("snapshot has no part %d", req.Part)
	}
	return snapshotResponse{
		First: s.first, Next: s.next, Parts: s.parts(), AgeUS: c.Clock.Since(s.confirmedAt).Microseconds(),
		EraAgeUS: c.Clock.Since(s.eraAt).Microseconds(), Data: s.part(req.Part),
	}, nil
}

// snapshotAt returns the snapshot that ends at an offset, or the newest one for 0. The one before the
// newest is kept for nodes that have some of its parts.
func (c *Copy) snapshotAt(next int64) (*snapshot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmedAt.IsZero() {
		return nil, ErrUnknown
	}
	if err := c.checkEra(next); err != nil {
		return nil, err
	}
	for _, s := range c.snapshots {
		if next != 0 && s != nil && s.next == next {
			return s, nil
		}
	}
	if next != 0 {
		return nil, errOtherSnapshot
	}
	newest := c.snapshots[0]
	if newest != nil && c.Clock.Since(newest.madeAt) < snapshotLifetime {
		return newest, nil
	}
	made := &snapshot{first: c.firstOffset, next: c.next, confirmedAt: c.confirmedAt, eraAt: c.eraAt, madeAt: c.Clock.Now()}
	if newest != nil && newest.next == made.next {
		// Encoded anew it would have other parts, which a node would join with those that it has.
		made.data = newest.data
		c.snapshots[0] = made
		return made, nil
	}
	data, err := encodeSnapshot(c.latest, c.next)
	if err != nil {
		return nil, err
	}
	made.data = data
	c.snapshots = [2]*snapshot{made, newest}
	return made, nil
}

// encodeSnapshot compresses the records: for each its key with its length, its value with its length
// plus 1, or 0 for a removed key, and its offset. The store's listing takes several pages, so later pages may
// hold records at or after next, the end of the first: these are read again from there, and count as written
// right before.
func encodeSnapshot(latest map[string]follow.Record, next int64) ([]byte, error) {
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress snapshot")
	}
	var record []byte
	for _, r := range latest {
		record = binary.AppendUvarint(record[:0], uint64(len(r.Key)))
		record = append(record, r.Key...)
		if r.Value == nil {
			record = append(record, 0)
		} else {
			record = binary.AppendUvarint(record, uint64(len(r.Value))+1)
			record = append(record, r.Value...)
		}
		record = binary.AppendUvarint(record, uint64(min(r.Offset, max(next-1, 0))))
		if _, err := w.Write(record); err != nil {
			return nil, eris.Wrap(err, "compress snapshot")
		}
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress snapshot")
	}
	return buffer.Bytes(), nil
}

// decodeSnapshot decodes the records of a snapshot that ends at offset next.
func decodeSnapshot(data []byte, next int64) ([]follow.Record, error) {
	raw, err := inflate(data, maxSnapshotBytes)
	if err != nil {
		return nil, eris.Wrap(err, "decompress snapshot")
	}
	var records []follow.Record
	for len(raw) > 0 {
		var r follow.Record
		var key []byte
		var offset uint64
		var ok bool
		if key, raw, ok = cutField(raw, 0); !ok {
			return nil, eris.New("key in snapshot is cut off")
		}
		if r.Value, raw, ok = cutField(raw, 1); !ok {
			return nil, eris.New("value in snapshot is cut off")
		}
		n := 0
		if offset, n = binary.Uvarint(raw); n <= 0 || offset >= uint64(next) {
			return nil, eris.Errorf("offset in snapshot is cut off, or not below %d", next)
		}
		r.Key, r.Offset, raw = string(key), int64(offset), raw[n:]
		records = append(records, r)
	}
	return records, nil
}

// cutField splits off a field with its length, to which added was added. A length of less than added
// stands for no field.
func cutField(data []byte, added uint64) (field, rest []byte, ok bool) {
	length, n := binary.Uvarint(data)
	if n <= 0 || length > uint64(len(data)-n)+added {
		return nil, nil, false
	}
	if length < added {
		return nil, data[n:], true
	}
	end := n + int(length-added)
	return data[n:end:end], data[end:], true
}

// readSnapshot reads a snapshot from one node. If from is 0, it must have more than this node's own copy. Its age is that of the first part, which the node
// measured after the request was sent.
func (t *Topic) readSnapshot(ctx context.Context, reader netip.AddrPort, from int64) (follow.Page, error) {
	first, err := t.readPart(ctx, reader, snapshotRequest{Topic: t.Name})
	if err != nil {
		return follow.Page{}, err
	}
	if err := t.checkEra(first.Next, first.Outdated, from); err != nil {
		return follow.Page{}, err
	}
	if from == 0 && t.Own.reaches(first.Next) {
		return follow.Page{}, errNoNewer
	}
	if first.AgeUS < 0 || first.Next < 0 || first.Parts < 1 || first.Parts > maxSnapshotBytes/snapshotChunkBytes {
		return follow.Page{}, eris.Errorf("invalid snapshot: age %d µs, next offset %d, %d parts", first.AgeUS, first.Next, first.Parts)
	}
	if from != 0 && from < first.First {
		return follow.Page{}, ErrUnknown
	}
	data := first.Data
	for part := 1; part < first.Parts; part++ {
		response, err := t.readPart(ctx, reader, snapshotRequest{Topic: t.Name, Part: part, Next: first.Next})
		if err != nil {
			return follow.Page{}, err
		}
		if response.Next != first.Next {
			return follow.Page{}, errOtherSnapshot
		}
		data = append(data, response.Data...)
	}
	records, err := decodeSnapshot(data, first.Next)
	if err != nil {
		return follow.Page{}, err
	}
	return follow.Page{Records: records, Next: first.Next, Age: copyAge(first.AgeUS), EraAge: eraAge(first.EraAgeUS)}, nil
}

// readPart reads one part of a snapshot, again if the response does not arrive or the node is busy.
func (t *Topic) readPart(ctx context.Context, reader netip.AddrPort, request snapshotRequest) (response snapshotResponse, err error) {
	err = t.callAgain(ctx, reader, methodSnapshot, request, &response, func(*jsonrpc2.Error) bool {
		return request.Part == 0 // the node has no records yet
	})
	return response, err
}
