package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/cherryward/cherryward/internal/experiment"
	"github.com/cherryward/cherryward/internal/settings"
)

// Flag names of experiments.
const (
	flagParallel = "parallel"
	flagOut      = "out"
	flagCompare  = "compare"
)

// outputFileMode is the mode of result files.
const outputFileMode = 0o644

func experimentCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:     "experiment",
		Usage:    "compare policies in a simulation of the fleet and load in a file, in virtual time",
		Commands: []*cli.Command{experimentRunCommand(s)},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return usagef("experiment: the command must be experiment run FILE, not %q", strings.Join(cmd.Args().Slice(), " "))
		},
	}
}

func experimentRunCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "simulate each policy with each seed, and compare the results",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: flagParallel, Value: max(runtime.GOMAXPROCS(0)/2, 1), Usage: "maximum number of concurrent `RUNS`"},
			&cli.StringFlag{Name: flagOut, Value: ".", Usage: "output `DIRECTORY` for NAME.jsonl and NAME.svg"},
			&cli.StringFlag{Name: flagCompare, Usage: "`FIRST,SECOND` policies to compare (default: the first two of the file)"},
		},
		OnUsageError: asUsageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := checkArgs(cmd, 1, 1); err != nil {
				return err
			}
			t, err := newExperimentRun(cmd)
			if err != nil {
				return err
			}
			return t.run(ctx, s)
		},
	}
}

// experimentRun is an experiment with the options of the command.
type experimentRun struct {
	file          *experiment.File
	parallel      int
	out           string
	first, second string
}

func newExperimentRun(cmd *cli.Command) (*experimentRun, error) {
	file, err := experiment.Load(cmd.Args().First())
	if err != nil {
		return nil, experimentError(cmd.Args().First(), err)
	}
	t := &experimentRun{file: file, parallel: cmd.Int(flagParallel), out: cmd.String(flagOut)}
	if t.parallel < 1 {
		return nil, usagef("--%s: must be at least 1", flagParallel)
	}
	t.first, t.second = file.Policies[0].Name, file.Policies[1].Name
	if names := cmd.String(flagCompare); names != "" {
		var ok bool
		t.first, t.second, ok = strings.Cut(names, ",")
		if !ok || !file.HasPolicy(t.first) || !file.HasPolicy(t.second) {
			return nil, usagef("--%s: %q: must be the names of two policies of the file", flagCompare, names)
		}
	}
	return t, nil
}

// experimentError converts a read error or the problems of an experiment file to a
// usageError.
func experimentError(path string, err error) error {
	var problems settings.Problems
	if errors.As(err, &problems) {
		return usagef("%s: experiment is not valid\n%w", path, problems)
	}
	return &usageError{err}
}

// run simulates the experiment, writes its result files, and prints the summary and the
// comparison.
func (t *experimentRun) run(ctx context.Context, s Streams) error {
	if err := os.MkdirAll(t.out, 0o755); err != nil {
		return &usageError{err}
	}
	runs, err := t.file.RunAll(ctx, t.parallel, func(n, of int) {
		fmt.Fprintf(s.Err, "\r%s: %d of %d runs", t.file.Name, n, of)
	})
	fmt.Fprintln(s.Err)
	if err != nil {
		return err
	}
	if err := t.writeFiles(runs); err != nil {
		return err
	}
	if err := t.file.WriteSummary(s.Out, runs); err != nil {
		return err
	}
	fmt.Fprintln(s.Out)
	return t.file.WriteComparison(s.Out, runs, t.first, t.second)
}

func (t *experimentRun) writeFiles(runs []experiment.Run) error {
	err := t.writeFile(".jsonl", func(w io.Writer) error { return experiment.WriteRuns(w, runs) })
	if err != nil {
		return err
	}
	return t.writeFile(".svg", func(w io.Writer) error { return t.file.WritePlot(w, runs) })
}

// writeFile creates or truncates a result file and writes it.
func (t *experimentRun) writeFile(suffix string, write func(io.Writer) error) error {
	file, err := os.OpenFile(filepath.Join(t.out, t.file.Name+suffix), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, outputFileMode)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		return errors.Join(err, file.Close())
	}
	return file.Close()
}
