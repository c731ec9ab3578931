//go:build !race

package relay

// underRace is true if the race detector runs, which makes large simulated systems take minutes.
const underRace = false
