// Command review-kit runs the scripted cases of the review. Each case starts nodes as processes of their own against
// the stand-ins of the platform, causes one disruption, and judges what callers, servers and the platform see.
//
// The exit status is 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit statuses.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	envTrouble  = "TROUBLE"
	noTrouble   = "0"
	argsWanted  = 4
	usageFormat = "usage: %s CASE PROGRAM RECORD\n"
)

// cases are the scripted cases by name.
var cases = map[string]func(w *world) (broken bool, err error){
	"stop-time": stopTime,
	"lease":     leaseOfHolder,
	"handoff":   longHeaders,
	"popular":   popularPage,
}

func main() {
	if len(os.Args) != argsWanted || cases[os.Args[1]] == nil {
		fmt.Fprintf(os.Stderr, usageFormat, os.Args[0])
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

func runCase(name, program, record string) int {
	w, err := newWorld(program, record, os.Getenv(envTrouble) != noTrouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	broken, err := cases[name](w)
	switch {
	case err != nil:
		w.logf("not run: %v", err)
		return exitNotRun
	case broken:
		w.logf("BROKEN")
		return exitBroken
	}
	w.logf("held")
	return exitHeld
}
