package site

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// TestStartRegisters checks that all servers are in the registry when Start returns. Otherwise a
// node that reads the registry between the first entries serves some routes and rejects others.
func TestStartRegisters(t *testing.T) {
	s, err := Start(Config{HeartbeatInterval: time.Hour, EventInterval: time.Millisecond})
	must.NoError(t, err)
	defer s.Close()
	answer := httptest.NewRecorder()
	s.Store.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/-/log-newest?topic="+registryTopic+"&part=0", nil))
	body, err := io.ReadAll(answer.Body)
	must.NoError(t, err)
	for _, id := range []string{"model-1", "model-2", "model-3", "plain-1"} {
		test.StrContains(t, string(body), id)
	}
}

// TestDefaultBoundsAreStated checks the boot file of a site that sets no bounds.
func TestDefaultBoundsAreStated(t *testing.T) {
	s, err := Start(Config{HeartbeatInterval: time.Hour})
	must.NoError(t, err)
	defer s.Close()
	file := s.BootFile("n0")
	for _, line := range []string{
		"zone = \"north\"\n", "[zones]\nnorth = \"loopback\"\neast = \"loopback\"\n[listen]\n",
		"[bounds]\ndrain-ms = 2000\ngrace-s = 8\nconfig-apply-ms = 2000\nrevoke-ms = 5000\nstable-window-ms = 3000\n",
		"budget-slack = 50\n", "lease-ms = 500\nversion-ms = 12000\nevacuate-ms = 5000\ncold-overage = 1.5\n",
	} {
		test.StrContains(t, file, line)
	}
	test.StrNotContains(t, file, "version-all-ms")
	test.StrNotContains(t, file, "thaw-ms")
}

// TestServersAreSpreadOverZones checks a site that sets its size, zones and bounds.
func TestServersAreSpreadOverZones(t *testing.T) {
	bounds := DefaultBounds()
	bounds.Version, bounds.VersionAll, bounds.Thaw = 15*time.Second, 21*time.Second, 300*time.Millisecond
	s, err := Start(Config{HeartbeatInterval: time.Hour, Releases: make([]string, 9), Zones: []string{"a", "b", "c", "d"}, Bounds: bounds})
	must.NoError(t, err)
	defer s.Close()
	servers := make(map[string]int)
	for _, server := range s.Models {
		servers[server.Zone()]++
	}
	test.Eq(t, map[string]int{"a": 3, "b": 2, "c": 2, "d": 2}, servers)
	test.Eq(t, "a", s.Plain.Zone())
	file := s.BootFileIn("n1", "b")
	for _, line := range []string{"zone = \"b\"\n", "\nd = \"loopback\"\n", "version-ms = 15000\nversion-all-ms = 21000\n", "thaw-ms = 300\n"} {
		test.StrContains(t, file, line)
	}
}
