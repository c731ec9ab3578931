package site

import "fmt"

// BootFile returns the boot file of a node at the site's IP, with ports that the operating system
// assigns.
func (s *Site) BootFile(node string) string {
	return fmt.Sprintf(`node-name = %[1]q
zone = "north"
region = "loopback"
ip = %[2]q
internal-ports = [0, 0]
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
`, node, s.ip, s.storeAddr)
}
