package relay

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/follow"
)

// TestFailedReadsTakeFewLogLines checks that reads are logged only if some fail, and then summed up.
func TestFailedReadsTakeFewLogLines(t *testing.T) {
	var out bytes.Buffer
	log, reads, start := zerolog.New(&out), readLog{}, time.Now()
	for i := range 100 {
		reads.record(Read{Bytes: 10}, "t", &log, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	test.Eq(t, "", out.String())
	for i := range 100 {
		failed := Read{Source: follow.Source{Kind: follow.SourceReader}, Err: errStale}
		reads.record(failed, "t", &log, start.Add(10*time.Second+time.Duration(i)*100*time.Millisecond))
	}
	test.Eq(t, 5, strings.Count(out.String(), "\n"))
	test.StrContains(t, out.String(), `"store":100,"store_failed":0,"store_bytes":1000`)
}
