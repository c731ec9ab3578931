package forward

import "github.com/rs/zerolog"

// SlotState holds the inputs of a placement that concern the slots of an engine: the selected one, or
// the one that is expected to have room first.
type SlotState struct {
	Running, Slots int  // requests in flight there, and its slots; 0 slots if unknown
	Spilled        bool // the node's own failure domain has no room
}

// log adds the state to the request's log event, unless the slots are unknown.
func (s SlotState) log(event *zerolog.Event) *zerolog.Event {
	if s.Slots <= 0 {
		return event
	}
	return event.Int("running", s.Running).Int("slots", s.Slots).Bool("spilled", s.Spilled)
}
