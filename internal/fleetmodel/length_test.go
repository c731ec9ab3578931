//go:build !race

package fleetmodel

// lengthDivisor shortens the simulations of TestContended.
const lengthDivisor = 1
