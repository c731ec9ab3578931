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

// message tells what a node saw of endpoints that ended.
type message struct {
	Endings []toldEnding `json:"endings,omitempty"`
	// Served are requests that an endpoint ran to a good end.
	Served []string `json:"served,omitempty"`
	// Recorded is true where the endings hold a request and its record was written.
	Recorded bool `json:"recorded,omitempty"`
}

type toldEnding struct {
	Fingerprint string `json:"fingerprint"`
	Endpoint    string `json:"endpoint"`
}

// news is a decoded message.
type news struct {
	endings  []Ending
	served   []Fingerprint
	recorded bool
}

// messages returns the news in messages that fit into datagrams.
func (n *news) messages() iter.Seq[message] {
	return func(yield func(message) bool) {
		for endings := range slices.Chunk(n.endings, maxNews) {
			m := message{Recorded: n.recorded}
			for _, e := range endings {
				m.Endings = append(m.Endings, toldEnding{e.Fingerprint.String(), e.Endpoint})
			}
			if !yield(m) {
				return
			}
		}
		for served := range slices.Chunk(n.served, maxNews) {
			var m message
			for _, f := range served {
				m.Served = append(m.Served, f.String())
			}
			if !yield(m) {
				return
			}
		}
	}
}

// decodeNews decodes a message, which is refused as a whole if any part of it is wrong.
func decodeNews(params json.RawMessage) (news, error) {
	var m message
	if err := json.Unmarshal(params, &m); err != nil {
		return news{}, eris.Wrap(err, "decode endings")
	}
	if len(m.Endings)+len(m.Served) > maxNews {
		return news{}, eris.Errorf("%d endings in a message", len(m.Endings)+len(m.Served))
	}
	n := news{recorded: m.Recorded}
	for _, told := range m.Endings {
		f, err := ParseFingerprint(told.Fingerprint)
		if err != nil {
			return news{}, err
		}
		if told.Endpoint == "" || len(told.Endpoint) > maxEndpointBytes {
			return news{}, eris.Errorf("an endpoint's name of %d bytes", len(told.Endpoint))
		}
		n.endings = append(n.endings, Ending{f, told.Endpoint})
	}
	for _, text := range m.Served {
		f, err := ParseFingerprint(text)
		if err != nil {
			return news{}, err
		}
		n.served = append(n.served, f)
	}
	return n, nil
}
