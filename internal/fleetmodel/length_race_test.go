//go:build race

package fleetmodel

// lengthDivisor shortens the simulations of TestContended under the race detector, where they take ten
// times as long. A simulation runs in one goroutine.
const lengthDivisor = 10
