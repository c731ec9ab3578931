package gatewaydemo_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/gatewaydemo"
	"github.com/cherryward/cherryward/platform"
	"github.com/cherryward/cherryward/standin/site"
)

// logBuffer is a log that several nodes write to.
type logBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// with returns the number of lines with a text, and the length of the longest of them.
func (b *logBuffer) with(text string) (lines, longest int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.String()) {
		if strings.Contains(line, text) {
			lines, longest = lines+1, max(longest, len(line))
		}
	}
	return lines, longest
}

const (
	oddEntries = 3000 // number of odd entries in the tests
	// maxRejectedLines is the number of lines about rejected records that the nodes of a test write in logPeriod.
	maxRejectedLines = 2 * 2 * 20
	logPeriod        = 10 * time.Second
	maxLineBytes     = 1 << 10
)

// writeOddRecords appends odd records to the topic of the nodes, of each kind of record that nodes read.
func writeOddRecords(s *site.Site) {
	deep := strings.Repeat("[", 9998) + strings.Repeat("]", 9998)
	for _, key := range []string{"odd-node", "quarantine/odd", "quarantine/00112233445566778899aabbccddeeff", "canary/models"} {
		for _, value := range []string{deep, "{", `{"addr":"10.0.0.1:70000"}`, `{"addr":"10.0.0.1:7","millicores":1e400}`, `{"until_ms":1e400}`, `{"order":1e400,"phase":"trial"}`, `{"phase":"x"}`} {
			s.Store.Put(platform.TopicNodes, key, []byte(value))
		}
	}
}

// TestNodesStartAndFollowAmongOddEntries guards against nodes that end, or stop following the registry, over entries of
// another writer: thousands of them lie in the store before the nodes start, and others arrive while they run, also in place
// of the entries of servers and in the other topics.
func TestNodesStartAndFollowAmongOddEntries(t *testing.T) {
	s, err := site.Start(site.Config{HeartbeatInterval: 50 * time.Millisecond, EventInterval: time.Millisecond})
	must.NoError(t, err)
	t.Cleanup(s.Close)
	s.OtherWriter.Write(0, 1)
	s.OtherWriter.WriteMany(oddEntries)
	writeOddRecords(s)
	s.Configure(1, key)
	var log logBuffer
	started := time.Now()
	var members []*gatewaydemo.Member
	for i := range 2 {
		m, err := gatewaydemo.StartNode(s, fmt.Sprint("n", i), zerolog.New(&log))
		must.NoError(t, err)
		t.Cleanup(func() { test.NoError(t, m.Stop()) })
		waitUntil(t, "the node is ready", m.Ready)
		members = append(members, m)
	}
	id := 0
	served := func(path string) func() bool {
		return func() bool {
			id++
			status, _ := sendRequest(t, members[id%2], path, key, fmt.Sprint("r", id), fmt.Sprint("5e55", id))
			return status == http.StatusOK
		}
	}
	for _, path := range []string{site.PathLookup, site.PathUpload, site.PathQuery, site.PathSummary} {
		waitUntil(t, path, served(path))
	}
	const steps = 40
	for i := range steps {
		s.OtherWriter.OverwriteServer(i%4, i)
		s.OtherWriter.OverwriteServer((i+1)%4, i+7)
		s.OtherWriter.WriteMany(oddEntries / steps)
	}
	writeOddRecords(s)
	added, err := s.AddModel("v1")
	must.NoError(t, err)
	runsBefore := len(added.Runs())
	waitUntil(t, "the nodes follow the registry", func() bool { served(site.PathQuery)(); return len(added.Runs()) > runsBefore })
	for _, path := range []string{site.PathLookup, site.PathUpload} {
		waitUntil(t, path, served(path))
	}
	test.Eq(t, 0, s.OtherWriter.Calls())
	rejected, longest := log.with("record_rejected")
	test.Between(t, 1, rejected, maxRejectedLines*int(time.Since(started)/logPeriod+2))
	test.Less(t, maxLineBytes, longest)
}
