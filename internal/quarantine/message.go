package quarantine

import (
	"encoding/json"
	"iter"
	"slices"

	"github.com/rotisserie/eris"
)

const (
	// method is the name of the notification. It may be repeated.
	method = "node.endings"
	// maxNews bounds what one message tells, so that it fits into a datagram.
	maxNews = 64
	// maxEndpointBytes bounds the name of an endpoint's start.
	maxEndpointBytes = 128
)

// errNoFingerprint refuses a message in which a fingerprint is missing.
var errNoFingerprint = eris.New("a message without a request's fingerprint")

// news tells what a node saw of endpoints that ended.
type news struct {
	Endings []Ending `json:"endings,omitempty"`
	// Served are requests that an endpoint ran to a good end.
	Served []Fingerprint `json:"served,omitempty"`
	// Recorded is true where the endings hold a request and its record was written.
	Recorded bool `json:"recorded,omitempty"`
}

// messages returns the news in messages that fit into datagrams.
func (n *news) messages() iter.Seq[news] {
	return func(yield func(news) bool) {
		for endings := range slices.Chunk(n.Endings, maxNews) {
			if !yield(news{Endings: endings, Recorded: n.Recorded}) {
				return
			}
		}
		for served := range slices.Chunk(n.Served, maxNews) {
			if !yield(news{Served: served}) {
				return
			}
		}
	}
}

// decodeNews decodes a message, which is refused as a whole if any part of it is wrong.
func decodeNews(params json.RawMessage) (news, error) {
	var n news
	if err := json.Unmarshal(params, &n); err != nil {
		return news{}, eris.Wrap(err, "decode endings")
	}
	if len(n.Endings)+len(n.Served) > maxNews {
		return news{}, eris.Errorf("%d endings in a message", len(n.Endings)+len(n.Served))
	}
	for _, e := range n.Endings {
		if e.Endpoint == "" || len(e.Endpoint) > maxEndpointBytes {
			return news{}, eris.Errorf("an endpoint's name of %d bytes", len(e.Endpoint))
		}
		if e.Fingerprint == (Fingerprint{}) {
			return news{}, errNoFingerprint
		}
	}
	if slices.Contains(n.Served, Fingerprint{}) {
		return news{}, errNoFingerprint
	}
	return n, nil
}
