package gateway

import (
	"encoding/json"
	"net/netip"

	"github.com/rotisserie/eris"
)

// nodeEntry is a node's entry in the topic.
type nodeEntry struct {
	Addr   string `json:"addr"`   // where it hears its peers, IP:PORT
	Domain string `json:"domain"` // failure domain
	// MilliCores is what the node may use of a processor, in thousandths of a core; 0 if not
	// known. Those with most of it work for the others.
	MilliCores int `json:"millicores,omitempty"`
	// Gone is true where another node has not heard this one for long. It writes its entry
	// anew if it lives; else its entry is removed.
	Gone bool `json:"gone,omitempty"`
}

// decodeNode decodes a node's entry. An error means that it names no node: other writers'
// records would take shares of what nodes share, and be told of loads.
func decodeNode(value []byte) (nodeEntry, error) {
	var e nodeEntry
	if err := json.Unmarshal(value, &e); err != nil {
		return nodeEntry{}, eris.Wrap(err, "decode a node's entry")
	}
	addr, err := netip.ParseAddrPort(e.Addr)
	if err != nil {
		return nodeEntry{}, eris.Wrap(err, "decode a node's address")
	}
	if ip := addr.Addr().Unmap(); addr.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() {
		return nodeEntry{}, eris.Errorf("no node can be at %s", addr)
	}
	return e, nil
}
