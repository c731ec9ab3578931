package ctl

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/cherryward/cherryward/internal/result"
)

func watchCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:  "watch",
		Usage: "print changes as they are accepted",
		Flags: []cli.Flag{
			&cli.Int64Flag{Name: flagAfter, Value: afterCurrent, Usage: "start after this `REVISION` (default: the current one)"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c, err := clientFromFlags(cmd)
			if err != nil {
				return err
			}
			after := cmd.Int64(flagAfter)
			if after < 0 {
				res, err := c.list(ctx, "")
				if err != nil {
					return err
				}
				after = res.GetApplied()
			}
			return watch(ctx, c, s.Out, s.Err, after)
		},
	}
}

func statusCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show nodes, owners, endpoints and the revision applied at each node",
		Flags: []cli.Flag{outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			c, err := clientFromFlags(cmd)
			if err != nil {
				return err
			}
			status, err := c.status(ctx)
			if err != nil {
				return err
			}
			return showStatus(s.Out, status, cmd.String(flagOutput))
		},
	}
}

func explainCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain a result code, by number or name",
		ArgsUsage: "CODE",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if err := checkArgs(cmd, 1, 1); err != nil {
				return err
			}
			info, ok := result.Lookup(cmd.Args().First())
			if !ok {
				return usagef("no result code %q; cherryctl codes lists them", cmd.Args().First())
			}
			return showCode(s.Out, info)
		},
	}
}

func explainRequestCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:      "explain-request",
		Usage:     "explain why an endpoint was selected for a recent request",
		ArgsUsage: "REQUEST-ID",
		Flags:     []cli.Flag{outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := checkArgs(cmd, 1, 1); err != nil {
				return err
			}
			c, err := clientFromFlags(cmd)
			if err != nil {
				return err
			}
			placement, err := c.explain(ctx, cmd.Args().First())
			if err != nil {
				return err
			}
			return showPlacement(s.Out, placement, cmd.String(flagOutput))
		},
	}
}

func codesCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:  "codes",
		Usage: "list the result codes",
		Flags: []cli.Flag{&cli.BoolFlag{Name: flagMarkdown, Usage: "print the contents of docs/RESULT-CODES.md"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Bool(flagMarkdown) {
				return result.WriteMarkdown(s.Out)
			}
			for _, info := range result.All() {
				if err := showCode(s.Out, info); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func loadCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send a bounded load of chat requests to a node's caller listener on the loopback interface",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagURL, Required: true, Usage: "`URL` of a node's caller listener"},
			&cli.StringFlag{Name: flagKey, Required: true, Sources: cli.EnvVars("CHERRYCTL_KEY"), Usage: "client account's bearer `KEY`"},
			&cli.StringFlag{Name: flagModel, Required: true, Usage: "`MODEL` of the requests"},
			&cli.IntFlag{Name: flagRequests, Value: defaultLoadRequests, Usage: "number of requests"},
			&cli.IntFlag{Name: flagConcurrency, Value: defaultLoadStreams, Usage: "maximum number of concurrent requests"},
			&cli.DurationFlag{Name: flagDuration, Value: defaultLoadDuration, Usage: "stop after this time"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			plan := loadPlan{
				url: cmd.String(flagURL), key: cmd.String(flagKey), model: cmd.String(flagModel),
				requests: cmd.Int(flagRequests), concurrency: cmd.Int(flagConcurrency), duration: cmd.Duration(flagDuration),
			}
			if err := plan.check(); err != nil {
				return err
			}
			return runLoad(ctx, plan).write(s.Out)
		},
	}
}
