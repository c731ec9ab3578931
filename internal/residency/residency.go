// Package residency confines requests, and the KV cache that they use and create, to the regions
// that operators allow.
//
// Guarantees, at nodes that know the current configuration:
//
//   - A confined request runs only at endpoints of its regions, on its first attempt and on all
//     further ones. A failure domain whose region is unknown is in no region.
//   - Its KV cache is fetched from and kept at holders of these regions only, under a key of its
//     own. So it never shares a part with a request that other regions may serve.
//   - A stored part is freed once no configuration in force confines requests as it was computed,
//     and no node may still reference it; see Tracker.
//
// A node outside these regions forwards confined requests: it keeps nothing of them.
package residency

import (
	"net/url"
	"slices"
	"strings"
)

// separator joins the names in a policy's key. Names are escaped, so that none contains it.
const separator = ","

// Policy is the set of regions in which a request may run and its data may be kept. The zero value
// allows all regions. Equal policies are equal by ==.
type Policy struct {
	confined bool
	regions  string // sorted escaped names, joined by separator
}

// Confine returns the policy that allows only the given regions. Without any, nothing may run.
func Confine(regions ...string) Policy {
	escaped := make([]string, len(regions))
	for i, region := range regions {
		escaped[i] = url.PathEscape(region)
	}
	slices.Sort(escaped)
	return Policy{confined: true, regions: strings.Join(slices.Compact(escaped), separator)}
}

// Equal reports whether the policies allow the same regions.
func (p Policy) Equal(other Policy) bool { return p == other }

// Confined reports whether the policy excludes any region.
func (p Policy) Confined() bool { return p.confined }

// Regions returns the allowed regions, sorted by their escaped names; nil if all are allowed.
func (p Policy) Regions() []string {
	if p.regions == "" {
		return nil
	}
	names := strings.Split(p.regions, separator)
	for i, name := range names {
		if region, err := url.PathUnescape(name); err == nil { // can't fail for names that Confine escaped
			names[i] = region
		}
	}
	return names
}

// Key returns a text that differs between any two policies under which something may run; empty if
// all regions are allowed.
func (p Policy) Key() string { return p.regions }

// KeysOf returns the keys of policies.
func KeysOf(policies []Policy) []string {
	keys := make([]string, len(policies))
	for i, p := range policies {
		keys[i] = p.Key()
	}
	return keys
}

// Intersect returns the policy that allows what both policies allow.
func (p Policy) Intersect(other Policy) Policy {
	switch {
	case !p.confined:
		return other
	case !other.confined:
		return p
	}
	allowed := other.Regions()
	return Confine(slices.DeleteFunc(p.Regions(), func(region string) bool { return !slices.Contains(allowed, region) })...)
}

// Map holds the region of each failure domain.
type Map map[string]string

// SameRegion reports whether two failure domains are in one region. Domains whose region is unknown
// count as in the same region as all others: where no regions are configured, there is only one.
func (m Map) SameRegion(a, b string) bool {
	regionA, regionB := m[a], m[b]
	return a == b || regionA == "" || regionB == "" || regionA == regionB
}

// Unknown returns the regions of a policy that no failure domain is in.
func (m Map) Unknown(p Policy) []string {
	return slices.DeleteFunc(p.Regions(), func(region string) bool {
		for _, known := range m {
			if known == region {
				return true
			}
		}
		return false
	})
}

// Scope returns the failure domains that a policy allows.
func (m Map) Scope(p Policy) Scope {
	if !p.confined {
		return Scope{}
	}
	scope := Scope{confined: true}
	regions := p.Regions()
	for domain, region := range m {
		if slices.Contains(regions, region) {
			scope.domains = append(scope.domains, domain)
		}
	}
	return scope
}

// Scope is the set of failure domains that a policy allows. The zero value contains all.
type Scope struct {
	confined bool
	domains  []string
}

// Confined reports whether the scope excludes any failure domain.
func (s Scope) Confined() bool { return s.confined }

// Contains reports whether the scope contains a failure domain.
func (s Scope) Contains(domain string) bool { return !s.confined || slices.Contains(s.domains, domain) }
