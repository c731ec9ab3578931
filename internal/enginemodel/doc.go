// Package enginemodel estimates the speed of engines from the response times that their callers
// observe.
//
// No speed is configured: the operators state only an engine's memory and slots. All estimates are
// medians of recent samples, which stay valid as long as fewer than half of the samples are
// disturbed by faults. Until the first samples, they are priors that don't describe any particular
// deployment.
//
// The package does no I/O and reads no clock.
package enginemodel
