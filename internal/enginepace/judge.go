package enginepace

import (
	"slices"
	"time"
)

const (
	// slowRatio is the ratio of a gap to its explanation from which the gap is a sign of slowness.
	slowRatio = 1.8
	// normalRatio is the ratio up to which a gap shows that the engine is not slow.
	normalRatio = 1.4
	// minExcess is the minimum unexplained time of a sign: delays of the network and of busy hosts
	// are in this range.
	minExcess = 15 * time.Millisecond
	// minGroup is the time over which the events of a stream are combined before they are judged:
	// below it, delays of single packets dominate.
	minGroup = 20 * time.Millisecond
	// confirmations is the number of consecutive signs for a verdict, of streams silent at the same
	// time, and of normal gaps that end a verdict.
	confirmations = 2
	// maxSilence is the longest silence that counts as a sign. A longer one is not a slow spell: the
	// engine may have ended or preempted the runs.
	maxSilence = time.Second
	// maxExcusedShare bounds the time in a group for which this node did not run or did not read, as a
	// share of the rest: the events that were made in that time are in the group, so it looks quick.
	maxExcusedShare = 0.25
	// minCompared is the number of observed engines from which an engine is compared with the others.
	minCompared = 4
	// ratioLifetime is how long the ratio of an engine's latest events is used for that.
	ratioLifetime = 300 * time.Millisecond
)

// explainMs returns the time, in ms, in which an engine makes the given number of events if it
// prefills the given number of tokens meanwhile.
func (t *Tracker) explainMs(usualMs float64, events, read int) float64 {
	return usualMs*float64(events) + t.tokenMs*t.stalls.bound(float64(read), events)
}

// slowness returns the ratio of the time that events took to its explanation, and whether it is a sign
// of slowness. There are no signs while most engines look slow.
func (t *Tracker) slowness(took time.Duration, explainedMs float64) (ratio float64, isSlow bool) {
	ratio = millis(took) / explainedMs
	return ratio, t.common < normalRatio && ratio > slowRatio && millis(took)-explainedMs >= millis(minExcess)
}

// judge judges the current group of a stream's events, and begins the next one.
func (t *Tracker) judge(s *Stream, usualMs float64, now *mark) {
	start, events := s.group, s.events
	s.group, s.events = *now, 0
	took, read := start.since(now), start.readSince(now)
	if float64(now.excused-start.excused) > maxExcusedShare*float64(took) {
		return // the events that were made while the node was stopped or wrote are counted, their time isn't
	}
	t.learn(s, &start, now, usualMs, events)
	if usualMs <= 0 {
		return
	}
	explainedMs := t.explainMs(usualMs, events, read)
	s.engine.ratio, s.engine.ratioAt = millis(took)/explainedMs, now.at
	ratio, isSlow := t.slowness(took, explainedMs)
	if !isSlow {
		s.slowGroups = 0
		if read == 0 && ratio <= normalRatio {
			s.engine.recordNormal()
		}
		return
	}
	if s.slowGroups == 0 {
		s.slowFrom, s.slowEvents, s.confirmed = start, 0, 0
	}
	s.slowGroups++
	s.slowEvents += events
	t.confirmGroups(s, usualMs, now)
}

// confirmGroups judges the slow groups of a stream if there are enough that don't count yet.
func (t *Tracker) confirmGroups(s *Stream, usualMs float64, now *mark) {
	if s.slowGroups >= confirmations && s.slowGroups > s.confirmed {
		t.confirm(s, usualMs, s.slowEvents, &s.group, now)
	}
}

// confirm judges all consecutive slow groups of a stream together, up to end, with what has become
// known since the first of them: the prefill that explains them may have been reported late. They
// count only once such reports must have arrived.
func (t *Tracker) confirm(s *Stream, usualMs float64, events int, end, now *mark) {
	if s.slowFrom.since(now) < t.reportDelay() {
		return
	}
	ratio, isSlow := t.slowness(s.slowFrom.since(end), t.explainMs(usualMs, events, s.slowFrom.readSince(now)))
	if !isSlow {
		s.slowGroups = 0
		return
	}
	s.confirmed = s.slowGroups
	t.recordSign(s.engine, ratio, end.at)
}

// reportDelay returns the time after which most loads that other nodes report are known here.
func (t *Tracker) reportDelay() time.Duration { return t.reportLag*5/2 + TickInterval }

// learn learns from a group of events: the usual spacing if no prefill took part, else how long
// prefill delays events. The latter is learned while the same prompts of this node were pending for
// the whole time, so that prefill took part in all steps: the end of other nodes' prompts is reported
// late. A gap below twice the usual spacing is left out, because the prompts may have waited for a slot.
func (t *Tracker) learn(s *Stream, start, now *mark, usualMs float64, events int) {
	e, took := s.engine, millis(start.since(now))
	switch {
	case took <= 0, took > millis(maxSilence): // engines that stand still are judged by their silence
	case start.readSince(now) == 0:
		t.usual.add(e.running(), took/float64(events), now.at)
	case events == 1 && usualMs > 0 && took >= 2*usualMs && t.tokenMs > 0 && start.own > 0 && start.ownChanges == now.ownChanges && !e.slow(now.at):
		t.stalls.add((took - usualMs) / t.tokenMs)
	}
}

// judgeGroups judges the slow groups of an engine's streams that did not count at their end.
func (t *Tracker) judgeGroups(e *engine, now time.Time) {
	usualMs := t.usual.at(e.running())
	for _, s := range e.streams {
		if usualMs > 0 && s.slowGroups > 0 {
			at := s.mark(now)
			t.confirmGroups(s, usualMs, &at)
		}
	}
}

// judgeSilence judges an engine by the streams without events for longer than explained. All
// streams there must be silent, and at least two since about the same time, or one whose last
// events were late already: a single silent stream may be delayed by the network or preempted.
func (t *Tracker) judgeSilence(e *engine, now time.Time) {
	usualMs := t.usual.at(e.running())
	if usualMs <= 0 {
		return
	}
	silent, lowest := 0, MaxFactor
	var first, last time.Time // of the silent streams' last events
	for _, s := range e.streams {
		at := s.mark(now)
		took := s.last.since(&at)
		if s.writing || took > maxSilence {
			continue
		}
		ratio, isSlow := t.slowness(took, t.explainMs(usualMs, 1, s.last.readSince(&at)))
		if !isSlow {
			return
		}
		if s.slowGroups > 0 {
			t.confirm(s, usualMs, s.slowEvents+s.events+1, &at, &at)
		}
		if millis(took) >= millis(t.reportDelay()) {
			silent++
			if first.IsZero() || s.last.at.Before(first) {
				first = s.last.at
			}
			if s.last.at.After(last) {
				last = s.last.at
			}
			lowest = min(lowest, ratio)
		}
	}
	if silent >= confirmations && millis(last.Sub(first)) <= slowRatio*usualMs {
		t.recordSign(e, lowest, now)
	}
}

// recordSign records that an engine was the given factor slower than explained, until the given time.
func (t *Tracker) recordSign(e *engine, ratio float64, at time.Time) {
	isNew := !e.slow(at)
	e.factor, e.normalGroups = min(ratio, MaxFactor), 0
	if at.After(e.signAt) {
		e.signAt = at
	}
	if isNew && t.OnVerdict != nil {
		t.OnVerdict(e.id, e.factor)
	}
}

// recordNormal records events at the usual spacing. Some groups of them in a row end the verdict.
func (e *engine) recordNormal() {
	if e.normalGroups++; e.normalGroups >= confirmations {
		e.factor = 0
	}
}

// compare determines how much slower than usual the events of most engines are now. If they are, the
// cause is this node or its link, such as a link that is full, and not the engines.
func (t *Tracker) compare(now time.Time) {
	t.ratios = t.ratios[:0]
	for _, e := range t.engines {
		if ratio := t.currentRatio(e, now); ratio > 0 {
			t.ratios = append(t.ratios, ratio)
		}
	}
	t.common = 1
	if len(t.ratios) >= minCompared {
		slices.Sort(t.ratios)
		t.common = max(t.ratios[(len(t.ratios)-1)/2], 1)
	}
}

// currentRatio returns the ratio of the latest events of an engine's streams to their explanation, or
// that of the present silence if it is greater; 0 if unknown.
func (t *Tracker) currentRatio(e *engine, now time.Time) float64 {
	usualMs := t.usual.at(e.running())
	if usualMs <= 0 || len(e.streams) == 0 {
		return 0
	}
	silence := MaxFactor
	for _, s := range e.streams {
		at := s.mark(now)
		tookMs, explainedMs := millis(s.last.since(&at)), t.explainMs(usualMs, 1, s.last.readSince(&at))
		if tookMs-explainedMs < millis(minExcess) {
			silence = 0
			break
		}
		silence = min(silence, tookMs/explainedMs)
	}
	if now.Sub(e.ratioAt) > ratioLifetime {
		return silence
	}
	return max(e.ratio, silence)
}
