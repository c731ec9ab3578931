package forward

import (
	"time"

	"github.com/cherryward/cherryward/internal/origin"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/routing"
	"github.com/cherryward/cherryward/internal/upstream"
)

// Recorder records the outcomes of requests.
type Recorder interface {
	// Forwarded records the outcome of a finished request.
	Forwarded(o *Outcome)
}

// Outcome is the result of a request.
type Outcome struct {
	Route    *routing.Route
	Account  string
	Code     result.Code // 0 if an endpoint's answer was delivered
	Status   int
	Attempts int
	Passed   bool // another node passed the request to this one
	Helper   bool // this node passed the request to another one
	// Origin is how the origin of the stream was found that the caller resumes; nil if it resumes none.
	Origin          *origin.Source
	TimeToFirstByte time.Duration // until the header of the answer was written; 0 without an answer
	Total           time.Duration
	// Excesses are the parts of which endpoints sent too much, one for each attempt that ended so.
	Excesses []upstream.Part
	// LongestPause is the longest time between two reads that brought events of a stream; 0 if it is
	// not measured.
	LongestPause time.Duration
}
