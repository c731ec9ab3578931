package enginestate

import (
	"time"

	"github.com/cherryward/cherryward/internal/enginemodel"
)

const (
	defaultStep    = 30 * time.Millisecond
	defaultRunTime = 10 * time.Second
	// minPrefill is the minimum number of computed tokens for a speed sample: below it, fixed
	// delays dominate.
	minPrefill = 256
	// minSteps is the minimum number of output tokens for a step time sample.
	minSteps = 8
)

// learnPrefill adds a sample of the prefill speed. The prefill of g lasts from the end of the
// previous one, or from its own grant if that is later, to its first token.
func (e *Engine) learnPrefill(now time.Time, g *Grant, computed int) {
	if computed < minPrefill {
		return
	}
	start := g.GrantedAt
	if e.lastPrefillEnd.After(start) {
		start = e.lastPrefillEnd
	}
	took := now.Sub(start).Seconds()
	if took <= 0 {
		return
	}
	e.speed(g.Model).prefill.Add(float64(computed)/took, float64(computed))
}

func (e *Engine) learnRun(now time.Time, g *Grant, observed Observed) {
	e.runTime.Add(now.Sub(g.GrantedAt).Seconds(), 1)
	if observed.Output < minSteps || observed.Total <= observed.FirstToken {
		return
	}
	steps := float64(observed.Output - 1)
	e.speed(g.Model).step.Add((observed.Total-observed.FirstToken).Seconds()/steps, steps)
}

// speed is the learned speed of one model on this engine.
type speed struct {
	prefill enginemodel.Median // tokens per second
	step    enginemodel.Median // seconds per decode step
}

// speed returns the learned speed of a model, initially the priors.
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

// prefillTime predicts how long the engine takes to compute the tokens.
func (e *Engine) prefillTime(model string, tokens int) time.Duration {
	return seconds(float64(tokens) / e.speed(model).prefill.Value())
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
