package placer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"
)

// TestNoLimitOnReplacedWeights checks that prompts are placed on the wanted weights where the
// operators set no limit for applying new weights, or one shorter than the margin.
func TestNoLimitOnReplacedWeights(t *testing.T) {
	for _, limit := range []time.Duration{0, time.Second} {
		fx := newFixture(t, fakeEvents{}, 1, 1, 1)
		fx.VersionApplyLimit = func() time.Duration { return limit }
		_, ok := fx.Place(query())
		test.True(t, ok, test.Sprint(limit))
	}
}
