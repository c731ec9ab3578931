// Package scenarios runs the scripts *.txtar, which inject failures into a complete system.
//
// Each node is a separate process. The stand-ins for external systems run in the test process, on
// the loopback interface. At the end of every script, all invariants of internal/invariant are
// checked. docs/design/scenarios.md describes the commands.
package scenarios

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cherryward/cherryward/internal/ctl"
	"github.com/cherryward/cherryward/internal/daemon"
)

// scriptsAtOnce limits the number of scripts that run in parallel.
const scriptsAtOnce = 4

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cherryward": func() {
			os.Exit(daemon.Main(os.Args))
		},
		"cherryctl": func() {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			os.Exit(ctl.Run(ctx, os.Args, ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
		},
	})
}

func TestScenarios(t *testing.T) { runScripts(t, ".") }

// TestTickets runs the script for ticketed calls as a separate test, so that it can be listed
// separately as a known failure.
func TestTickets(t *testing.T) { runScripts(t, "tickets") }

// runScripts runs the scripts in a folder.
func runScripts(t *testing.T, folder string) {
	t.Helper()
	slots := make(chan struct{}, scriptsAtOnce)
	testscript.Run(t, testscript.Params{
		Dir:                 folder,
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			slots <- struct{}{}
			w := newWorld(env)
			env.Values[worldKey{}] = w
			env.Defer(func() {
				defer func() { <-slots }()
				w.close(env.T())
			})
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"standins":  command((*world).standins),
			"node":      command((*world).node),
			"configure": command((*world).configure),
			"apply":     command((*world).apply),
			"fault":     command((*world).fault),
			"leave":     command((*world).leave),
			"crash":     command((*world).crash),
			"freeze":    command((*world).freeze),
			"thaw":      command((*world).thaw),
			"cut":       command((*world).cut),
			"heal":      command((*world).heal),
			"term":      command((*world).term),
			"hup":       command((*world).hup),
			"pause":     command((*world).pause),
			"set":       command((*world).set),
			"exits":     command((*world).exits),
			"ticket":    command((*world).ticket),
			"ask":       command((*world).ask),
			"resume":    command((*world).resume),
			"call":      command((*world).call),
			"load":      command((*world).load),
			"finish":    command((*world).stopLoad),
			"join":      command((*world).join),
			"expect":    command((*world).expect),
			"await":     command((*world).await),
			"report":    command((*world).report),
		},
	})
}

type worldKey struct{}

// command returns a script command that calls a method.
func command(do func(w *world, a *args) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, words []string) {
		if neg {
			ts.Fatalf("the command can't be negated")
		}
		w, _ := ts.Value(worldKey{}).(*world)
		a := parseArgs(ts, words)
		err := do(w, a)
		if err == nil {
			err = a.checkUnused()
		}
		if err != nil {
			ts.Fatalf("%v", err)
		}
	}
}
