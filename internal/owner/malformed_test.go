package owner

import (
	"testing"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/answerhead/answerheadtest"
	"github.com/cherryward/cherryward/internal/kvcache"
	"github.com/cherryward/cherryward/internal/kvcache/storehttp"
)

// TestMalformedAnswersOfStoreHosts guards against what is no answer being taken for one of a store host.
func TestMalformedAnswersOfStoreHosts(t *testing.T) {
	for name, text := range answerheadtest.Malformed(`{"generation":"g"}`) {
		t.Run(name, func(t *testing.T) {
			c := storehttp.NewClient("http://"+answerheadtest.Serve(t, text), storeClient)
			_, err := c.Usage(t.Context())
			test.Error(t, err)
			test.Error(t, c.PutManifest(t.Context(), kvcache.Manifest{Key: "k"}))
		})
	}
}
