package fleet

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
)

// TestManyChangesAreCountedInLog checks that the changes of one read take a bounded number of log lines.
func TestManyChangesAreCountedInLog(t *testing.T) {
	var log bytes.Buffer
	f := New(zerolog.New(&log))
	f.UpdateBatch(func() {
		for i := range 3000 {
			f.Update(&Endpoint{ID: fmt.Sprint(i), Service: "s", Addr: fmt.Sprint("10.0.0.1:", i+1)}, time.Now())
		}
	})
	test.Eq(t, maxChangeLines+1, strings.Count(log.String(), "\n"))
	test.StrContains(t, log.String(), fmt.Sprintf(`"event":"endpoints_listed","service":"s","further":%d`, 3000-maxChangeLines))
	log.Reset()
	for i := range 2 * maxChangeLines {
		f.Remove(fmt.Sprint(i))
	}
	test.Eq(t, 2*maxChangeLines, strings.Count(log.String(), `"event":"endpoint_gone"`), test.Sprint("outside of a batch each has a line"))
}
