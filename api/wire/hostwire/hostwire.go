// Package hostwire defines the messages of the platform's host list, which is updated with a
// delay.
package hostwire

import "strconv"

// PathHosts is the resource of the list. GET returns the current list, or status 304 if
// If-None-Match holds the tag of the current version.
const PathHosts = "/v1/hosts"

// Tag returns the entity tag of a version of the list.
func Tag(version int64) string { return strconv.Quote(strconv.FormatInt(version, 10)) }

// State is the state in which the platform last observed a host.
type State string

// The states of a host. Hosts that were shut down are not listed.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Host is a host that runs a node of cherryward or an endpoint.
type Host struct {
	ID     string `json:"id"`
	Addr   string `json:"addr"` // ip:port; for a node, of its peer listener
	Domain string `json:"domain"`
	State  State  `json:"state"`
	Node   bool   `json:"node"` // whether the host is a node of the system
}

// List is the host list. Version increases with each change.
type List struct {
	Version int64  `json:"version"`
	Hosts   []Host `json:"hosts"`
}
