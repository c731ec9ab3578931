//go:build race

package brittle_test

// largeSystems is true if systems of hundreds of nodes are simulated, which takes minutes under the race detector.
const largeSystems = false
