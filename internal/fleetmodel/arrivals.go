package fleetmodel

import (
	"math"
	"time"
)

// Surge is a period in which the callers of a class arrive at Factor times the usual rate.
type Surge struct {
	At, Length time.Duration
	Factor     float64
}

// Swing shifts the demand between failure domains: each domain's share of the callers rises and
// falls by the given share of its mean, one domain after the other.
type Swing struct {
	Share  float64
	Period time.Duration
}

// SlowSpells are periods in which an engine's steps take Factor times as long. They take the given
// share of each engine's time, are of equal length and begin at random times.
type SlowSpells struct {
	Share, Factor float64
	Length        time.Duration
}

// scheduleClass schedules the arrivals of a class's callers.
func (w *World) scheduleClass(c *Class) {
	burst := max(c.Burst, 1)
	gap := float64(burst) / c.PerSecond
	draw := w.sessions(c)
	for at := w.random.ExpFloat64() * gap / c.surge(0); at < w.Length.Seconds(); at += w.random.ExpFloat64() * gap / c.surge(at) {
		home := w.drawDomain(at)
		for range burst {
			request, arrived := w.newRequest(c, draw()), w.drawNode(home)
			w.open++
			w.Result.Callers++
			w.after(time.Duration(at*float64(time.Second)), func() {
				(&call{world: w, class: c, node: arrived, request: request, first: w.now}).arrive()
			})
		}
	}
}

// surge returns the factor on the class's rate at a time in seconds.
func (c *Class) surge(at float64) float64 {
	factor := 1.0
	for _, s := range c.Surges {
		if at >= s.At.Seconds() && at < (s.At+s.Length).Seconds() {
			factor *= s.Factor
		}
	}
	return factor
}

// drawDomain returns the failure domain of callers that arrive at a time in seconds.
func (w *World) drawDomain(at float64) *failureDomain {
	if len(w.domains) == 1 {
		return w.domains[0]
	}
	draw := w.nodeDraw.Float64() * float64(len(w.domains))
	for i, d := range w.domains {
		share := 1.0
		if w.Swing.Period > 0 {
			phase := at/w.Swing.Period.Seconds() + float64(i)/float64(len(w.domains))
			share += w.Swing.Share * math.Sin(2*math.Pi*phase)
		}
		if draw -= share; draw < 0 {
			return d
		}
	}
	return w.domains[len(w.domains)-1]
}

// drawNode returns a random node of a failure domain.
func (w *World) drawNode(d *failureDomain) *node {
	if len(d.nodes) == 1 {
		return d.nodes[0]
	}
	return d.nodes[w.nodeDraw.IntN(len(d.nodes))]
}

// slowSpells returns the slow spells of all engines as faults. The pauses between the spells of an
// engine are exponentially distributed.
func (w *World) slowSpells() []Fault {
	s := w.SlowSpells
	if s.Share <= 0 {
		return nil
	}
	var faults []Fault
	pause := float64(s.Length) * (1 - s.Share) / s.Share
	for i := range w.Engines {
		for at := time.Duration(w.spellDraw.ExpFloat64() * pause); at < w.Length; at += s.Length + time.Duration(w.spellDraw.ExpFloat64()*pause) {
			faults = append(faults, Fault{Engine: i, At: at, Length: s.Length, SlowFactor: s.Factor})
		}
	}
	return faults
}
