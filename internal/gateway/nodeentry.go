package gateway

import (
	"encoding/json"
	"net/netip"

	"github.com/rotisserie/eris"
)

// nodeEntry is a node's entry in the topic of the nodes.
type nodeEntry struct {
	Addr   string `json:"addr"`   // receives messages from peers, IP:PORT
	Domain string `json:"domain"` // failure domain
	// Helper receives requests that peers pass to the node, IP:PORT; empty if it accepts none.
	Helper string `json:"helper,omitempty"`
	// BindsReleases is true if the node continues a stream that a peer passes to it only at the release
	// that began it. Builds that don't know this leave it out.
	BindsReleases bool `json:"binds_releases,omitempty"`
	// MilliCores is the processor time available to the node, in thousandths of a core; 0 if
	// unknown. The nodes with the most perform work for the others.
	MilliCores int `json:"millicores,omitempty"`
	// Gone is true if another node has received no message from this one for a long time; such an
	// entry is called marked. A live node then writes its entry again; otherwise the entry is
	// removed.
	Gone bool `json:"gone,omitempty"`
}

const (
	maxDomainBytes = 255
	// maxMilliCores is more than any host has. The nodes with the most perform work for the others.
	maxMilliCores = 1 << 20
)

// decodeNode decodes a node's entry. It fails if the value does not describe a node with a usable
// address: records of other writers must not count as nodes, which get a share of the common limits
// and receive load messages.
func decodeNode(value []byte) (nodeEntry, error) {
	var e nodeEntry
	if err := json.Unmarshal(value, &e); err != nil {
		return nodeEntry{}, eris.Wrap(err, "decode node entry")
	}
	addr, err := netip.ParseAddrPort(e.Addr)
	if err != nil {
		return nodeEntry{}, eris.Wrap(err, "decode node address")
	}
	if !isNodeAddr(addr, e.Addr) {
		return nodeEntry{}, eris.Errorf("decode node address: %q is not a unicast address with a port", e.Addr)
	}
	if len(e.Domain) > maxDomainBytes || e.MilliCores < 0 || e.MilliCores > maxMilliCores {
		return nodeEntry{}, eris.Errorf("decode node entry: domain of %d bytes or %d millicores are out of range", len(e.Domain), e.MilliCores)
	}
	if helper, err := netip.ParseAddrPort(e.Helper); err != nil || !isNodeAddr(helper, e.Helper) {
		e.Helper = ""
	}
	return e, nil
}

// isNodeAddr reports whether an address that was parsed from text is a unicast one with a port, in the usual notation.
func isNodeAddr(addr netip.AddrPort, text string) bool {
	ip := addr.Addr().Unmap()
	return addr.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast() && ip.Zone() == "" && addr.String() == text
}
