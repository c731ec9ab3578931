package quarantine

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/follow"
)

// keyPrefix is the prefix of the keys of held requests, which distinguishes them from node entries in
// the same topic.
const keyPrefix = "quarantine/"

// record is the stored form of a hold. Times are Unix milliseconds.
type record struct {
	UntilMS   int64    `json:"until_ms"`
	Endpoints []string `json:"endpoints"`
	// SinceMS and Node are when the hold began and the node that recorded it. They are information for
	// operators.
	SinceMS int64 `json:"since_ms,omitempty"`
	// Part is true if a part of prompts is held, not a request.
	Part bool   `json:"part,omitempty"`
	Node string `json:"node,omitempty"`
}

// IsRecord reports whether a key of the topic is that of a held request.
func IsRecord(key string) bool { return strings.HasPrefix(key, keyPrefix) }

func keyOf(f Fingerprint) string { return keyPrefix + f.String() }

func (h *Hold) encode(node string) ([]byte, error) {
	data, err := json.Marshal(record{UntilMS: h.Until.UnixMilli(), Endpoints: h.Endpoints, SinceMS: h.Since.UnixMilli(), Node: node, Part: h.Part})
	return data, eris.Wrap(err, "encode held request")
}

// decodeHold decodes a record. Hosts' clocks differ, and the record may come from another writer, so
// the remaining time is limited to maxHold.
func decodeHold(r *follow.Record, now time.Time) (Hold, error) {
	f, err := ParseFingerprint(strings.TrimPrefix(r.Key, keyPrefix))
	if err != nil {
		return Hold{}, err
	}
	var stored record
	if err := json.Unmarshal(r.Value, &stored); err != nil {
		return Hold{}, eris.Wrap(err, "decode held request")
	}
	if len(stored.Endpoints) < holdThreshold || len(stored.Endpoints) > maxReportEntries {
		return Hold{}, eris.Errorf("decode held request: invalid number of endpoints: %d", len(stored.Endpoints))
	}
	if err := stored.check(); err != nil {
		return Hold{}, err
	}
	left := min(time.UnixMilli(stored.UntilMS).Sub(now), maxHold)
	return Hold{Fingerprint: f, Endpoints: stored.Endpoints, Since: time.UnixMilli(stored.SinceMS), Until: now.Add(left), Node: stored.Node, Part: stored.Part}, nil
}

const (
	// maxUnixMS is the largest time of a record, in the year 4199. JSON can't show years of more than four digits.
	maxUnixMS = 1<<46 - 1
	// maxStartBytes bounds the identifier of an endpoint's start in a record.
	maxStartBytes = 512
)

// check returns an error if a time or an endpoint is out of range.
func (r *record) check() error {
	if r.UntilMS < 0 || r.UntilMS > maxUnixMS || r.SinceMS < 0 || r.SinceMS > maxUnixMS {
		return eris.Errorf("decode held request: times %d and %d are out of range", r.UntilMS, r.SinceMS)
	}
	for _, endpoint := range r.Endpoints {
		if endpoint == "" || len(endpoint) > maxStartBytes {
			return eris.Errorf("decode held request: identifier of an endpoint has %d bytes", len(endpoint))
		}
	}
	return nil
}

// ReadHolds returns the requests with a hold record in a topic, including expired holds, newest first.
// Invalid records are skipped. It fails if the topic cannot be read.
func ReadHolds(ctx context.Context, topic follow.Topic, now time.Time) ([]Hold, error) {
	page, err := topic.Newest(ctx)
	if err != nil {
		return nil, err
	}
	var holds []Hold
	for i := range page.Records {
		r := &page.Records[i]
		if !IsRecord(r.Key) || r.Value == nil {
			continue
		}
		if h, err := decodeHold(r, now); err == nil {
			holds = append(holds, h)
		}
	}
	slices.SortFunc(holds, func(a, b Hold) int { return b.Since.Compare(a.Since) })
	return holds, nil
}

// Release removes the record of a held request, so that all nodes that follow the topic send the
// request again.
func Release(ctx context.Context, topic Topic, f Fingerprint) error {
	return topic.Put(ctx, keyOf(f), nil)
}
