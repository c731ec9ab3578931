package upstream

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test"
)

// FuzzReuseTimeout checks that the timeout is between zero and an hour, whatever an endpoint
// states.
func FuzzReuseTimeout(f *testing.F) {
	for _, seed := range []string{"timeout=5", "timeout=NaN", "timeout=Inf", "timeout=-Inf", "timeout=-3", "timeout=1e300", "max=3, timeout=0.5", "timeout=", "timeout=5s", ",", ""} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		d := reuseTimeout(http.Header{"Keep-Alive": {value}})
		test.True(t, d >= 0 && d <= time.Hour, test.Sprint(d))
	})
}

func TestReuseTimeout(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"timeout=10": 7 * time.Second, "max=3, timeout=10": 7 * time.Second, "timeout=0": 0, "timeout=-3": 0, "timeout=-Inf": 0,
		"timeout=NaN": defaultIdleTimeout, "timeout=x": defaultIdleTimeout, "": defaultIdleTimeout, "timeout=1e300": 2520 * time.Second, "timeout=Inf": 2520 * time.Second,
	} {
		test.Eq(t, want, reuseTimeout(http.Header{"Keep-Alive": {value}}).Round(time.Millisecond), test.Sprint(value))
	}
}
