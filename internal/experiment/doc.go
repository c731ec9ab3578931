// Package experiment plays policies over a described fleet, load and faults, each with the same
// seeds, and compares what became of the callers.
//
// Guarantee: a file gives the same results on every machine, whatever runs beside it; a file
// that is wrong is refused as a whole, with the path and the number of each problem.
package experiment
