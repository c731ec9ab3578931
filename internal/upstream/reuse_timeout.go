package upstream

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// reuseTimeout returns the time for which an idle connection may be reused: the endpoint's
// Keep-Alive timeout less a margin for a request that is sent shortly before the timeout, or
// defaultIdleTimeout if it states none.
func reuseTimeout(h http.Header) time.Duration {
	const (
		usedShare    = 0.7  // part of the stated time that is used
		maxKeepAlive = 3600 // in seconds; a longer time would overflow
	)
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		if s, err := strconv.ParseFloat(value, 64); err == nil && !math.IsNaN(s) {
			return time.Duration(max(min(s, maxKeepAlive), 0) * usedShare * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}
