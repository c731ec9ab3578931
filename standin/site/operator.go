package site

import (
	"encoding/json"
	"time"

	"github.com/cherryward/cherryward/standin/modelserver"
)

// coldPerSecond is the number of requests per second that a cold model server can handle.
const coldPerSecond = 18

// The failure domains of a site that sets none. SecondZone is that of the last model server. All
// other servers and the nodes are in the other one.
const (
	firstZone  = "north"
	SecondZone = "east"
)

// zonesOf returns the failure domains of a number of model servers, in their order.
func (c *Config) zonesOf(servers int) []string {
	var zones []string
	for i := range servers {
		switch {
		case len(c.Zones) > 0:
			zones = append(zones, c.Zones[i%len(c.Zones)])
		case i == servers-1:
			zones = append(zones, SecondZone)
		default:
			zones = append(zones, firstZone)
		}
	}
	return zones
}

// Configure writes a version of the configuration, with the given API keys of the account.
func (s *Site) Configure(version int64, keys ...string) { s.configure(version, nil, nil, keys) }

// ConfigureRegions writes a version of the configuration in which the routes of prompts, or the
// account, may be served in the given regions only. No regions mean no restriction.
func (s *Site) ConfigureRegions(version int64, routes, account []string, keys ...string) {
	s.configure(version, routes, account, keys)
}

func (s *Site) configure(version int64, routeRegions, accountRegions, keys []string) {
	route := func(prefix, kind, service string, attempts int, resumable bool) map[string]any {
		r := map[string]any{
			"name": prefix, "hostname": Host, "path-prefix": prefix, "route-kind": kind, "service": service,
			"timeout-ms": 10000, "target-latency-ms": 500, "gap-target-ms": 300, "priority": 1,
			"max-attempts": attempts, "sticky": kind == "streaming", "resumable": resumable,
		}
		if service == "models" && routeRegions != nil {
			r["allowed-regions"] = routeRegions
		}
		return r
	}
	account := map[string]any{"name": Account, "api-keys": keys, "priority": 1}
	if accountRegions != nil {
		account["allowed-regions"] = accountRegions
	}
	engine := map[string]any{
		"slots": 8, "kv-capacity-tokens": 100000, "kv-token-bytes": 35136, "link-mbps": 1e6,
		"models": []any{map[string]any{"name": Model}},
	}
	s.put("keyed.op", "config", map[string]any{
		"version": version,
		"routes": []any{
			route(PathSummary, "streaming", "models", 1, false),
			route(PathQuery, "streaming", "models", 2, true),
			route(PathLookup, "idempotent", "plain", 2, false),
			route(PathUpload, "non_idempotent", "plain", 1, false),
		},
		"services": []any{
			map[string]any{
				"name": "models", "health-path": "/healthz", "max-connections": 100, "engine": engine,
				"cold-start-s": modelserver.ColdStart.Seconds(), "cold-per-s": coldPerSecond,
			},
			map[string]any{"name": "plain", "health-path": "/healthz", "max-connections": 100},
			map[string]any{"name": "keep", "kv-store-addr": s.kvStoreAddr, "zone": s.zones[0], "kv-capacity-tokens": 100000, "link-mbps": 3e5, "managed": true, "first_ms": 0.5},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{account},
	})
}

// Evacuate writes or, if inForce is false, deletes the operator's order to evacuate a failure
// domain. While it is in force, nodes must not send requests to the servers of the domain.
func (s *Site) Evacuate(zone string, inForce bool) {
	key := "evacuate/" + zone
	if inForce {
		s.put("keyed.op", key, struct{}{})
		return
	}
	s.Store.Put("keyed.op", key, nil)
}

// OrderRelease writes the order to move the model service to another release of its servers' software.
func (s *Site) OrderRelease(release string, within time.Duration) {
	s.put("keyed.op", "rollout/models", map[string]any{"service": "models", "destination": release, "within-s": within.Seconds()})
}

// ReleaseState returns the state that the nodes last wrote about the order, and its release; empty if
// they wrote none.
func (s *Site) ReleaseState() (state, release string) {
	var status struct {
		State       string `json:"state"`
		Destination string `json:"destination"`
	}
	value := s.Store.Newest("keyed.status", "rollout/models")
	if value == nil {
		return "", ""
	}
	if err := json.Unmarshal(value, &status); err != nil {
		return "", ""
	}
	return status.State, status.Destination
}

// SetTargetVersion writes the target version of the model's weights.
func (s *Site) SetTargetVersion(version int64) {
	s.put("keyed.op", "version/"+Model, map[string]any{"model": Model, "version": version})
}

func (s *Site) put(topic, key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // can't fail for maps of strings and numbers
	}
	s.Store.Put(topic, key, data)
}
