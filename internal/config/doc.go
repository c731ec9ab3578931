// Package config holds the typed configuration that operators write.
//
// Guarantee: whether a change is valid depends only on the change and on the
// objects at its position in the log, never on the clock, the node or the iteration
// order of a map. Nodes that apply the same changes in the same order therefore have
// equal Views. A View is immutable, so a reader may use one for as long as it needs.
package config
