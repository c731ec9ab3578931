// Package experiment compares placement policies by simulation: it runs each policy with the same
// seeds on a described fleet, load and faults.
//
// A file gives the same results on every machine, whatever else runs concurrently. An invalid file is
// rejected as a whole, with the path and result code of each problem.
package experiment
