package enginestate

import (
	"time"

	"github.com/cherryward/cherryward/internal/enginemodel"
)

const (
	defaultStep = 30 * time.Millisecond
	defaultLife = 10 * time.Second
	// minPrefill is the least number of computed tokens that tells a speed:
	// below it, fixed delays prevail.
	minPrefill = 256
	// minSteps is the least number of output tokens that tells a step time.
	minSteps = 8
)

// learnPrefill takes the speed from the time between the start of g's prefill,
// which is the end of the one before it or its own grant, and its first token.
func (e *Engine) learnPrefill(now time.Time, g *Grant, computed int) {
	if computed < minPrefill {
		return
	}
	start := g.GrantedAt
	if e.lastFirst.After(start) {
		start = e.lastFirst
	}
	took := now.Sub(start).Seconds()
	if took <= 0 {
		return
	}
	e.speed(g.Model).prefill.Add(float64(computed)/took, float64(computed))
}

func (e *Engine) learnRun(now time.Time, g *Grant, seen Observed) {
	e.life.Add(now.Sub(g.GrantedAt).Seconds(), 1)
	if seen.Output < minSteps || seen.Total <= seen.FirstToken {
		return
	}
	steps := float64(seen.Output - 1)
	e.speed(g.Model).step.Add((seen.Total-seen.FirstToken).Seconds()/steps, steps)
}

// speed holds what was learned of one model on this engine.
type speed struct {
	prefill enginemodel.Median // tokens per second
	step    enginemodel.Median // seconds per decode step
}

// speed returns what is known of a model, starting from the priors.
func (e *Engine) speed(model string) *speed {
	s := e.speeds[model]
	if s == nil {
		s = &speed{
			prefill: enginemodel.NewMedian(e.cfg.PrefillRate),
			step:    enginemodel.NewMedian(defaultStep.Seconds()),
		}
		e.speeds[model] = s
	}
	return s
}

// prefillTime predicts how long the engine takes to compute tokens.
func (e *Engine) prefillTime(model string, tokens int) time.Duration {
	return seconds(float64(tokens) / e.speed(model).prefill.Value())
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
