package upstream

import "fmt"

// Part is a part of what an endpoint sends in response to a request.
type Part string

// The parts whose length is bounded.
const (
	PartHeader       Part = "header"        // the headers of all responses up to the answer, interim ones included
	PartOtherAnswers Part = "other_answers" // answers to other requests before the answer
	PartBody         Part = "body"          // a body that states no length
	PartEvent        Part = "event"         // one event of a stream
	PartNoEvent      Part = "no_event"      // bytes of a stream that hold no event
)

// ExcessError reports that an endpoint sent more than a part of an answer may have. What it sent is no answer.
type ExcessError struct{ Part Part }

// Error implements error.
func (e *ExcessError) Error() string { return fmt.Sprintf("endpoint sent too much: %s", e.Part) }
