package site

import (
	"cmp"
	"fmt"
)

// Region is the region of the nodes and of all servers but those in SecondZone, if that is in
// another one.
const Region = "loopback"

// OtherRegion is the region of SecondZone if Config.SecondRegion is true.
const OtherRegion = "coast"

// BootFile returns the boot file of a node at the site's IP, with ports that the operating system
// assigns.
func (s *Site) BootFile(node string) string {
	second := ""
	if s.secondRegion {
		second = OtherRegion
	}
	return fmt.Sprintf(`node-name = %[1]q
zone = "north"
region = %[4]q
ip = %[2]q
internal-ports = [0, 0]
[zones]
north = %[4]q
east = %[5]q
[listen]
front = "%[2]s:0"
ready = "%[2]s:0"
[limits]
memory-mb = 256
max-fds = 1024
[bounds]
drain-ms = 2000
grace-s = 8
config-apply-ms = 2000
revoke-ms = 5000
stable-window-ms = 3000
retry-budget-ratio = 0.2
budget-slack = 50
budget-window-s = 10
lease-ms = 500
version-ms = 12000
evacuate-ms = 5000
cold-overage = 1.5
cold-tolerance = 5
require-fence = true
[platform]
address = %[3]q
`, node, s.ip, s.storeAddr, Region, cmp.Or(second, Region))
}
