// Package enginemodel learns how quick engines are from what callers of them see.
//
// Nothing of an engine's speed is configured: the operators state its memory and its
// slots alone. All estimates are medians of the newest outcomes, so that faults spoil
// none as long as fewer than half of the outcomes are disturbed; before the first ones
// come they are priors that no deployment is expected to meet.
//
// The package does no I/O and reads no clock.
package enginemodel
