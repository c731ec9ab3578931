// Package result defines the numbered result codes of the daemon.
//
// Guarantee: every error that a node returns has one code and one run state. Callers can
// rely on the run state: an error has not_run only if the request cannot have reached an
// endpoint, or if the endpoint reported that it did not run it. The meaning of a number or
// name never changes, and a code that is no longer used is not reused.
package result
