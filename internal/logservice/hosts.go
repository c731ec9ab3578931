package logservice

import (
	"encoding/json"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/api/wire/hostwire"
)

// hostList is a hostwire.List whose hosts are not decoded yet.
type hostList struct {
	Version int64             `json:"version"`
	Hosts   []json.RawMessage `json:"hosts"`
}

// decodeHosts decodes a list. Hosts that can't be used are left out: the others hold.
func decodeHosts(data []byte) (*hostwire.List, error) {
	var raw hostList
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, eris.Wrap(err, "decode the list of hosts")
	}
	list := &hostwire.List{Version: raw.Version}
	for _, element := range raw.Hosts {
		var h hostwire.Host
		if err := json.Unmarshal(element, &h); err == nil && isUsable(&h) {
			list.Hosts = append(list.Hosts, h)
		}
	}
	return list, nil
}

// isUsable reports whether a host has an id, and an address that is either missing or an IP:PORT in the usual notation.
func isUsable(h *hostwire.Host) bool {
	if h.ID == "" || h.Addr == "" {
		return h.ID != ""
	}
	addr, err := netip.ParseAddrPort(h.Addr)
	return err == nil && addr.Port() != 0 && addr.Addr().Zone() == "" && addr.String() == h.Addr
}
