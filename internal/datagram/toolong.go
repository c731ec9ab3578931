package datagram

import (
	"maps"
	"slices"
	"time"
)

// tooLongInterval is the least time between two log lines about too long notifications of a method.
const tooLongInterval = 10 * time.Second

// logTooLong logs that a notification was not sent to any of its peers because of its length: what it tells
// grows with the system, and nobody else would learn that it is missing.
func (c *Conn) logTooLong(method string, bytes, peers int) {
	c.mu.Lock()
	loggedAt, logged := c.tooLong[method]
	now := time.Now()
	due := !logged || now.Sub(loggedAt) >= tooLongInterval
	if due {
		c.tooLong[method] = now
	}
	c.mu.Unlock()
	if due {
		c.log.Warn().Str("event", "datagram_too_long").Str("method", method).Int("bytes", bytes).Int("max_bytes", MaxBytes).Int("peers", peers).Send()
	}
}

// Methods returns the names of the methods that have a handler, in alphabetical order.
func (c *Conn) Methods() []string { return slices.Sorted(maps.Keys(c.handlers)) }
