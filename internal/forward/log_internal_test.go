package forward

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestLoggedTextIsBounded guards against ids as long as a head that fill the log.
func TestLoggedTextIsBounded(t *testing.T) {
	long := strings.Repeat("x", 7<<10)
	must.Eq(t, long[:maxLoggedBytes]+"...", logged(long))
	must.Eq(t, long[:maxLoggedBytes], logged(long[:maxLoggedBytes]))
}
