package placer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestNoBoundOnWeights checks that prompts are placed on the wanted weights where the operators set
// no limit for applying new weights, or one shorter than the margin.
func TestNoBoundOnWeights(t *testing.T) {
	for _, bound := range []time.Duration{0, time.Second} {
		w := newWorld(t, source{}, 1, 1, 1)
		w.VersionApplyLimit = func() time.Duration { return bound }
		_, ok := w.Place(query())
		test.True(t, ok, test.Sprint(bound))
	}
}
