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

// keyPrefix is what the keys of held requests begin with, in a topic that they share with nodes.
const keyPrefix = "quarantine/"

// record is a hold as it is recorded on the platform. Times are Unix milliseconds.
type record struct {
	UntilMS   int64    `json:"until_ms"`
	Endpoints []string `json:"endpoints"`
	// SinceMS and Node are when which node knew first that the request is to be held; they are for
	// operators.
	SinceMS int64  `json:"since_ms,omitempty"`
	Node    string `json:"node,omitempty"`
}

// IsRecord reports whether a key is that of a held request.
func IsRecord(key string) bool { return strings.HasPrefix(key, keyPrefix) }

func keyOf(f Fingerprint) string { return keyPrefix + f.String() }

func (h *Hold) encode(node string) ([]byte, error) {
	data, err := json.Marshal(record{UntilMS: h.Until.UnixMilli(), Endpoints: h.Endpoints, SinceMS: h.Since.UnixMilli(), Node: node})
	return data, eris.Wrap(err, "encode a held request")
}

// decodeHold decodes a record. Hosts' clocks differ and records may be another writer's: none holds
// a request for longer than any may be.
func decodeHold(r *follow.Record, now time.Time) (Hold, error) {
	f, err := ParseFingerprint(strings.TrimPrefix(r.Key, keyPrefix))
	if err != nil {
		return Hold{}, err
	}
	var stored record
	if err := json.Unmarshal(r.Value, &stored); err != nil {
		return Hold{}, eris.Wrap(err, "decode a held request")
	}
	if len(stored.Endpoints) < threshold || len(stored.Endpoints) > maxNews {
		return Hold{}, eris.Errorf("a request held for %d endpoints", len(stored.Endpoints))
	}
	left := min(time.UnixMilli(stored.UntilMS).Sub(now), longestHold)
	return Hold{Fingerprint: f, Endpoints: stored.Endpoints, Since: time.UnixMilli(stored.SinceMS), Until: now.Add(left), Node: stored.Node}, nil
}

// ReadHolds returns the requests that are or were held by records of a topic, the newest first. What
// can't be read is left out.
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

// Release removes the record of a held request: all nodes that follow the topic send it again.
func Release(ctx context.Context, topic Topic, f Fingerprint) error {
	return topic.Put(ctx, keyOf(f), nil)
}
