// Package capacity estimates the resources that a node needs at the planned system size, from slopes
// measured on the daemon's code.
//
// Every figure is derived from measured points in this package, which state the command that measured
// them, or is printed as not measured. The points were measured on shared machines; each slope states
// the machine's load.
package capacity
