// Package enginemodel estimates the speed of engines from the response times that their callers
// observe.
//
// No speed is configured: the operators state only an engine's memory and slots. All estimates are
// based on medians of recent samples, which stay valid though some of the samples are disturbed by
// faults: fewer than half for the duration of a run and the slowdown of an engine, up to 29% for
// the time to read a prompt. Until the first samples, they are priors that don't describe any
// particular deployment.
//
// The package does no I/O and reads no clock.
package enginemodel
