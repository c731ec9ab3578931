package modelserver

import "time"

// Faults are the faults that tests can inject.
type Faults struct {
	RejectRequests bool // requests are rejected as not run
	// RetryAfter is the Retry-After header of requests rejected by RejectRequests; empty for none.
	RetryAfter   string
	LoseResponse bool // requests run, and their connection is closed without a response
	// CutAfter closes the connection of a stream after this many events, within the next event;
	// -1 closes it within the first.
	CutAfter int
	// ResponseOfOtherBefore sends a response to another request before that to the request itself.
	ResponseOfOtherBefore bool
	// ResponseOfOtherAfter sends a response to another request after that to the request itself.
	ResponseOfOtherAfter bool
	// UnconfirmedError sends status 503 without the header that states that the request did not run.
	UnconfirmedError bool
	Status           int  // of responses; 0 means 200
	Hang             bool // requests run and get no response
	// Unframed sends streams without a length, which end when the connection is closed.
	Unframed bool
	// LateOrders executes orders after this delay, and sends no response; 0 disables it.
	LateOrders time.Duration
	// HoldOrders queues orders until ReleaseOrders is called, and sends no response.
	HoldOrders bool
	// Limit is the Server-Limit header, the rate in requests per second that the server reports
	// as its limit for all nodes together; empty for none.
	Limit string
	// Draining is the Server-Leaving header, which is 1 if the server is draining; empty for none.
	Draining string
	// Brittle is the Server-Brittle header, the number of refusals per second that the server bears; empty
	// for none.
	Brittle string
	// Endless is the form of bytes that are sent in place of responses, without end.
	Endless Endless
	// BrokenHead is the form, from 1 to BrokenHeads, of what is sent in place of a response and is no head; 0 disables this.
	BrokenHead int
	// Raw is sent in place of the first bytes of a response, after which nothing follows until the client closes the connection;
	// empty disables this.
	Raw string
	// CrashOnSuffix is a path suffix. A request whose path has it crashes the server that runs it; empty
	// disables this.
	CrashOnSuffix string
	// CrashOnPart is the id of a part. A request whose prompt has it, not as the last part, crashes the server
	// when it begins to respond; empty disables this.
	CrashOnPart string
	// LongOnSuffix is a path suffix. A request whose path has it gets a plain response of LongBytes; empty disables this.
	LongOnSuffix string
}
