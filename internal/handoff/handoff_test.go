package handoff_test

import (
	"testing"
	"time"

	"github.com/shoenig/test"

	"github.com/cherryward/cherryward/internal/handoff"
	"github.com/cherryward/cherryward/internal/result"
)

// TestPassedRefusalKeepsAShortRetryAfter checks that a time of less than a millisecond isn't lost between two nodes.
func TestPassedRefusalKeepsAShortRetryAfter(t *testing.T) {
	refused := handoff.RefusalOf(result.New(result.NoEndpoint, result.WithRetryAfter(300*time.Microsecond)))
	test.Eq(t, time.Millisecond, refused.Error().RetryAfter)
}
