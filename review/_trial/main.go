// Command trial runs one case of the review: it starts the stand-ins of a small site, starts nodes as
// processes with the command of the deploy file, disturbs them, and judges one rule by what clients and
// servers saw. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
)

// cases are the cases by the name on the command line.
var cases = map[string]func(*world) error{
	"hangup": hangup,
	"stray":  stray,
	"wall":   wall,
}

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

func main() { os.Exit(run()) }

func run() int {
	const (
		held   = 0
		broken = 1
		failed = 2
	)
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE RECORD")
		return failed
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer w.close()
	switch err := cases[os.Args[1]](w); {
	case err == nil:
		w.log("result: the rule held")
		return held
	case errors.Is(err, errBroken):
		w.log("result: %v", err)
		return broken
	default:
		w.log("result: the case couldn't run: %v", err)
		return failed
	}
}
