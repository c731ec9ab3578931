package engine

import "github.com/cherryward/cherryward/standin/fault"

// Faults are the faults that can be injected. A count of 0 disables a fault.
type Faults struct {
	fault.Process
	// Slow multiplies the duration of each step if it is greater than 1.
	Slow float64 `json:"slow"`
	// RefuseOverloaded rejects every new run as overloaded and not run.
	RefuseOverloaded bool `json:"refuse_overloaded"`
	// FailEvery fails each nth new run with status 500 before it starts.
	FailEvery int `json:"fail_every"`
	// FailAfter ends each stream with an error frame after n tokens. The run is lost.
	FailAfter int `json:"fail_after"`
	// TruncateAfter ends each stream after n tokens without an end frame. The run continues and
	// can be resumed.
	TruncateAfter int `json:"truncate_after"`
	// DuplicateEvery sends each nth frame of a stream twice.
	DuplicateEvery int `json:"duplicate_every"`
	// CrossEvery sends a frame of another run before each nth frame.
	CrossEvery int `json:"cross_every"`
	// LateEvery sends a frame of an earlier incarnation before each nth frame.
	LateEvery int `json:"late_every"`
	// WrongVersion reports another weight version in the start frame.
	WrongVersion bool `json:"wrong_version"`
	// DropEventEvery drops each nth cache event; its number is skipped.
	DropEventEvery uint64 `json:"drop_event_every"`
	// LoseOrderAnswers drops the connection of each order after its execution.
	LoseOrderAnswers bool `json:"lose_order_answers"`
	// WrongExport exports the bytes of another block with a matching checksum.
	WrongExport bool `json:"wrong_export"`
}

var _ fault.Set = Faults{}

// stopped reports whether the process is dead or frozen, and so sends nothing.
func (f Faults) stopped() bool { return f.Dead || f.Frozen }

// nth reports whether n is a positive multiple of every, if every is positive.
func nth(n, every int) bool { return every > 0 && n > 0 && n%every == 0 }
