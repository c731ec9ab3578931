package gateway

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/follow"
	"github.com/cherryward/cherryward/internal/residency"
)

// TestConfinementElsewhere checks that a node knows whether the configuration confines any requests to
// regions other than its own: it must then follow the endpoints there, or it would refuse such a
// request as one that may be served nowhere.
func TestConfinementElsewhere(t *testing.T) {
	for regions, want := range map[string]bool{"": false, `["inland"]`: false, `["coast","inland"]`: false, `["coast"]`: true, `["nowhere"]`: true} {
		s := newState(noBounds, zerolog.Nop())
		s.regions, s.domain = residency.Map{"north": "inland", "east": "coast"}, "north"
		account := `{"name":"yard","api-keys":["k"]}`
		if regions != "" {
			account = `{"name":"yard","api-keys":["k"],"allowed-regions":` + regions + `}`
		}
		value := `{"version":1,"routes":[],"services":[],"limits":{},"tenants":[` + account + `]}`
		s.Apply(follow.Batch{ConfirmedAt: time.Now(), Records: []follow.Record{{Key: "config", Value: []byte(value)}}})
		test.Eq(t, want, s.confinedElsewhere.Load(), test.Sprint(regions))
	}
}
