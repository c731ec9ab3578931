package owner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/enginestate"
	"github.com/cherryward/cherryward/internal/result"
)

func loadedState(versions ...string) *enginewire.State {
	s := &enginewire.State{}
	for _, v := range versions {
		s.Loaded = append(s.Loaded, enginewire.Loaded{Model: "m", Version: v})
	}
	return s
}

func TestRunCountsStartWhenVersionIsLoaded(t *testing.T) {
	now := time.Unix(1000, 0)
	e := newEngine("e", now)
	count := func(version string, outcomes ...enginestate.Outcome) {
		for _, o := range outcomes {
			e.countRun(&Prompt{Model: "m", Version: version}, o)
		}
	}
	count("v2", enginestate.Failed) // not loaded yet: not counted
	e.updateWeights(now, loadedState("v2"))
	count("v2", enginestate.Completed, enginestate.Failed, enginestate.Refused, enginestate.Abandoned)
	e.updateWeights(now.Add(time.Second), loadedState("v2"))
	must.Eq(t, &Tally{Completed: 1, Failed: 1, Since: now}, e.runCounts[weightsKey{"m", "v2"}])
	e.updateWeights(now.Add(2*time.Second), loadedState("v1"))
	e.updateWeights(now.Add(3*time.Second), loadedState("v2"))
	must.Eq(t, &Tally{Since: now.Add(3 * time.Second)}, e.runCounts[weightsKey{"m", "v2"}])
}

func TestSuspendedModelGetsNoGrants(t *testing.T) {
	now := time.Unix(1000, 0)
	e := newEngine("e", now)
	e.setReported(loadedState("v1"))
	enqueue := func(grant, version string) (*pendingGrant, error) {
		p, _, err := e.enqueue(now, &GrantRequest{Grant: grant, Prompt: Prompt{Account: "a", Model: "m", Version: version}, Tokens: 10})
		return p, err
	}
	_, err := enqueue("g1", "v2")
	must.True(t, result.Is(err, result.EndpointRejected))
	queued, err := enqueue("g2", "v1")
	must.NoError(t, err)
	e.suspendGrants(now, "m")
	<-queued.done
	must.True(t, result.Is(queued.err, result.EndpointRejected))
	must.Eq(t, result.NotRun, result.From(queued.err).RunState)
	_, err = enqueue("g3", "v1")
	must.True(t, result.Is(err, result.EndpointRejected))
	e.suspendGrants(now, "")
	p, err := enqueue("g4", "v1")
	must.NoError(t, err)
	e.tick(now)
	<-p.done
	must.NoError(t, p.err)
}

// TestStatusShowsMeasuredPrefillRate checks that the status contains no prefill rate until
// one is measured, and then the rate of the most recently finished run's model.
func TestStatusShowsMeasuredPrefillRate(t *testing.T) {
	e := newEngine("engine-1", start)
	must.Zero(t, e.status(start, "n").GetPrefillTokensPerSecond())
	req := &GrantRequest{Endpoint: "engine-1", Grant: "g", Tokens: 4000, Prompt: Prompt{Account: "a", Model: "m", TimeLeft: time.Minute}}
	_, _, err := e.enqueue(start, req)
	must.NoError(t, err)
	e.tick(start)
	done := start.Add(2 * time.Second)
	e.release(done, &ReleaseRequest{Grant: "g", FirstToken: time.Second, Total: 2 * time.Second, PromptTokens: 4000, Prompt: req.Prompt})
	must.Eq(t, 4000, e.status(done, "n").GetPrefillTokensPerSecond())
}
