package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/forward"
	"github.com/cherryward/cherryward/internal/routing"
)

// TestPromptsBeginWithinStartupGrace checks that prompts that a node places on replaced weights
// during its startup grace period must begin by the end of that period or be withdrawn: the version
// may have been announced long before, and engines may be slow to begin.
func TestPromptsBeginWithinStartupGrace(t *testing.T) {
	for _, bounds := range []bootstrap.Bounds{
		{VersionApplyLimit: 10 * time.Second, StableWindow: 3 * time.Second},
		{VersionApplyLimit: 15 * time.Second, StableWindow: 4 * time.Second},
	} {
		t.Run(fmt.Sprint(bounds.VersionApplyLimit, bounds.StableWindow), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStartingNode(bounds)
				started := time.Now()
				s.readNewVersion()
				p, ok := s.placer.Place(&forward.Query{
					Route:      &routing.Route{Priority: 1, Objective: time.Second},
					Service:    &routing.Service{Name: "s", Engine: &routing.Engine{TokenBytes: 1}},
					Attributes: &forward.Attributes{Model: model, PromptTokens: 100, OutputTokens: 10},
				})
				must.True(t, ok)
				test.LessEq(t, bounds.StableWindow, p.BeginBy.Sub(started))
			})
		})
	}
}
