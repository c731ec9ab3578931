package site

import (
	"fmt"
	"strings"
	"time"
)

// Region is the region of the nodes and of all servers but those in SecondZone, if that is in
// another one.
const Region = "loopback"

// OtherRegion is the region of SecondZone if Config.SecondRegion is true.
const OtherRegion = "coast"

// Bounds are the operator's bounds that nodes get in their boot file.
type Bounds struct {
	Drain        time.Duration // until a removed server gets no requests
	Grace        time.Duration // between SIGTERM and SIGKILL, in whole seconds
	ConfigApply  time.Duration
	Revoke       time.Duration
	StableWindow time.Duration
	Lease        time.Duration // of the claim on orders
	Version      time.Duration // until no request starts on replaced weights
	// VersionAll bounds the time until servers have the newest weights; 0 leaves it out.
	VersionAll time.Duration
	Evacuate   time.Duration
	Thaw       time.Duration // 0 leaves it out
	Budget     int           // slack of the retry budget, in requests
}

// DefaultBounds are the bounds of a site that sets none.
func DefaultBounds() Bounds {
	return Bounds{
		Drain: 2 * time.Second, Grace: 8 * time.Second, ConfigApply: 2 * time.Second, Revoke: 5 * time.Second,
		StableWindow: 3 * time.Second, Lease: 500 * time.Millisecond, Version: 12 * time.Second, Evacuate: 5 * time.Second,
		Budget: 50,
	}
}

// lines returns the lines of the boot file's table.
func (b *Bounds) lines() string {
	var lines strings.Builder
	milliseconds := func(name string, d time.Duration) {
		if d > 0 {
			fmt.Fprintf(&lines, "%s = %d\n", name, d.Milliseconds())
		}
	}
	milliseconds("drain-ms", b.Drain)
	fmt.Fprintf(&lines, "grace-s = %d\n", b.Grace/time.Second)
	milliseconds("config-apply-ms", b.ConfigApply)
	milliseconds("revoke-ms", b.Revoke)
	milliseconds("stable-window-ms", b.StableWindow)
	fmt.Fprintf(&lines, "retry-budget-ratio = 0.2\nbudget-slack = %d\nbudget-window-s = 10\n", b.Budget)
	milliseconds("lease-ms", b.Lease)
	milliseconds("version-ms", b.Version)
	milliseconds("version-all-ms", b.VersionAll)
	milliseconds("evacuate-ms", b.Evacuate)
	milliseconds("thaw-ms", b.Thaw)
	return lines.String()
}

// BootFile returns the boot file of a node in the first zone at the site's IP, with ports that the
// operating system assigns.
func (s *Site) BootFile(node string) string { return s.BootFileIn(node, s.zones[0]) }

// BootFileIn returns the boot file of a node in a zone.
func (s *Site) BootFileIn(node, zone string) string {
	var zones strings.Builder
	for _, name := range s.zones {
		fmt.Fprintf(&zones, "%s = %q\n", name, s.regionOf(name))
	}
	return fmt.Sprintf(`node-name = %[1]q
zone = %[4]q
region = %[5]q
ip = %[2]q
internal-ports = [0, 0]
[zones]
%[6]s[listen]
front = "%[2]s:0"
ready = "%[2]s:0"
[limits]
memory-mb = 256
max-fds = 1024
[bounds]
%[7]scold-overage = 1.5
cold-tolerance = 5
require-fence = true
[platform]
address = %[3]q
`, node, s.ip, s.storeAddr, zone, s.regionOf(zone), zones.String(), s.bounds.lines())
}

// regionOf returns the region of a zone.
func (s *Site) regionOf(zone string) string {
	if s.secondRegion && zone == SecondZone {
		return OtherRegion
	}
	return Region
}
