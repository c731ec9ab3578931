// Package enginepace observes the pace of engines in the streams of a node: how long the events of
// a stream are apart, compared with what is usual and what the engine's known prefill explains.
//
// Some engines turn slow for half a second at a time. Their speed estimated from first events
// (package enginemodel) follows too late for that; the spacing of events shows it within two events.
//
// Guarantees:
//
//   - A verdict on an engine lasts at most VerdictLifetime after the last sign of it, and its
//     factor is at most MaxFactor.
//   - Times at which this node itself was not running count for no engine.
//   - Each start of an engine is a different Engine: a restart drops the verdict.
//
// The package does no I/O and reads no clock.
package enginepace
