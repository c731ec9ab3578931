package fleetmodel

import "time"

// watch lets the caller give up if its attempt has no event for the class's time.
func (c *call) watch(attempt int, after time.Duration) {
	if c.class.GiveUp <= 0 {
		return
	}
	c.world.after(after, func() {
		if c.ended || c.attempts != attempt {
			return
		}
		if left := c.class.GiveUp - c.world.now.Sub(c.lastEvent); left > 0 {
			c.watch(attempt, left)
			return
		}
		c.giveUp()
	})
}

// giveUp ends the request because its caller has gone away.
func (c *call) giveUp() {
	if c.run != nil {
		c.world.engines[c.placement.Member.ID].cancel(c.run)
		c.run = nil
		c.placement.Member.Load.End(c.placement.MemoryTokens)
		if !c.started {
			c.placement.Member.Load.FirstEvent(c.placement.PrefillTokens)
		}
	}
	c.end()
	c.world.Result.countGivenUp(c)
}

// onFirstToken records the first token.
func (c *call) onFirstToken() {
	after := c.world.now.Sub(c.sent)
	c.placement.Member.Load.FirstEvent(c.placement.PrefillTokens)
	c.placement.RecordFirstEvent(after)
	c.placement.Member.Health.RecordSuccess(c.world.now)
	c.started = true
	c.lastEvent = c.world.now
	took := c.world.now.Sub(c.first)
	c.late = took > c.class.Objective
	c.world.Result.countFirstToken(c, took)
}

// onEvent records an event of the stream after the first one.
func (c *call) onEvent() {
	c.maxPause = max(c.maxPause, c.world.now.Sub(c.lastEvent))
	c.lastEvent = c.world.now
}

// onComplete records the last token.
func (c *call) onComplete() {
	c.run = nil
	c.placement.Member.Load.End(c.placement.MemoryTokens)
	c.placement.RecordRun(c.world.now.Sub(c.sent))
	c.node.disconnect(c.placement.Member.ID)
	c.end()
	c.world.Result.countComplete(c)
}

// onEngineFailure handles a crash of the engine. A request without a first token is placed at
// another engine; one that had a first token is aborted.
func (c *call) onEngineFailure() {
	c.run = nil
	member := c.placement.Member
	member.Load.End(c.placement.MemoryTokens)
	member.Health.RecordFailure(c.world.now, true)
	if c.started {
		c.end()
		c.world.Result.countAborted(c)
		return
	}
	member.Load.FirstEvent(c.placement.PrefillTokens)
	if c.placement.RecordFailure != nil {
		c.placement.RecordFailure()
	}
	c.world.Result.FailedOver++
	c.tried = append(c.tried, member.ID)
	c.place()
}
