package ctl

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/cherryward/cherryward/internal/capacity"
)

func capacityCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "show the resource use of a node at the planned size, extrapolated from measurements",
		Flags: []cli.Flag{&cli.BoolFlag{Name: flagMarkdown, Usage: "print the tables of docs/CAPACITY.md"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Bool(flagMarkdown) {
				return capacity.WriteMarkdown(s.Out)
			}
			return capacity.WriteText(s.Out)
		},
	}
}
