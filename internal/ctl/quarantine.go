package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cherryward/cherryward/internal/quarantine"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/platform"
)

// flagStore names the address of the platform's metadata store.
const flagStore = "store"

func quarantineCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:     "quarantine",
		Usage:    "list and release requests that gateway nodes hold, as endpoints ended under them",
		Commands: []*cli.Command{quarantineListCommand(s), quarantineReleaseCommand(s)},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return usagef("quarantine: want: quarantine list, or quarantine release FINGERPRINT, not %q", strings.Join(cmd.Args().Slice(), " "))
		},
	}
}

func storeFlag() cli.Flag {
	return &cli.StringFlag{Name: flagStore, Sources: cli.EnvVars("CHERRYCTL_STORE"), Usage: "`IP:PORT` of the platform's metadata store"}
}

func quarantineListCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:         "list",
		Usage:        "show which requests are held, until when, and which endpoints ended under them",
		Flags:        []cli.Flag{storeFlag(), outputFlag()},
		OnUsageError: wrongUsage,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := wantArgs(cmd, 0, 0); err != nil {
				return err
			}
			topic, err := nodesTopic(cmd)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
			defer cancel()
			now := time.Now()
			holds, err := quarantine.ReadHolds(ctx, topic, now)
			if err != nil {
				return result.Wrap(err, result.LogUnavailable)
			}
			return showHolds(s.Out, holds, now, cmd.String(flagOutput))
		},
	}
}

func quarantineReleaseCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:         "release",
		Usage:        "have a held request sent again, at all nodes",
		ArgsUsage:    "FINGERPRINT",
		Flags:        []cli.Flag{storeFlag()},
		OnUsageError: wrongUsage,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := wantArgs(cmd, 1, 1); err != nil {
				return err
			}
			f, err := quarantine.ParseFingerprint(cmd.Args().First())
			if err != nil {
				return usagef("quarantine release: %q: want the 32 hexadecimal digits of a fingerprint", cmd.Args().First())
			}
			topic, err := nodesTopic(cmd)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
			defer cancel()
			return release(ctx, s.Out, topic, f)
		},
	}
}

// release removes the record of a request that is held.
func release(ctx context.Context, w io.Writer, topic *platform.Topic, f quarantine.Fingerprint) error {
	holds, err := quarantine.ReadHolds(ctx, topic, time.Now())
	if err != nil {
		return result.Wrap(err, result.LogUnavailable)
	}
	for i := range holds {
		if holds[i].Fingerprint != f {
			continue
		}
		if err := quarantine.Release(ctx, topic, f); err != nil {
			return result.Wrap(err, result.OutcomeUnknown)
		}
		_, err := fmt.Fprintf(w, "%s released\n", f)
		return err
	}
	return result.New(result.UnknownObject, result.WithMessage("no request with fingerprint %s is held", f))
}

// nodesTopic returns the topic that holds the records, at the store that the flags name.
func nodesTopic(cmd *cli.Command) (*platform.Topic, error) {
	store, err := storeOf(cmd)
	if err != nil {
		return nil, err
	}
	return store.Topic(platform.NodesTopic), nil
}

// shownHold is a held request as JSON.
type shownHold struct {
	Fingerprint string    `json:"fingerprint"`
	Held        bool      `json:"held"` // false: its time is over, and the next ending holds it again
	Since       time.Time `json:"since"`
	Until       time.Time `json:"until"`
	Node        string    `json:"node,omitempty"`
	Endpoints   []string  `json:"endpoints"`
}

func showHolds(w io.Writer, holds []quarantine.Hold, now time.Time, format string) error {
	shown := make([]shownHold, 0, len(holds))
	for _, h := range holds {
		shown = append(shown, shownHold{
			Fingerprint: h.Fingerprint.String(), Held: now.Before(h.Until),
			Since: h.Since.UTC(), Until: h.Until.UTC(), Node: h.Node, Endpoints: h.Endpoints,
		})
	}
	if format == formatJSON {
		return writeJSON(w, shown)
	}
	rows := make([]string, 0, len(shown))
	for _, h := range shown {
		rows = append(rows, fmt.Sprintf("%s\t%t\t%s\t%s\t%s\t%s", h.Fingerprint, h.Held,
			h.Since.Format(time.RFC3339), h.Until.Format(time.RFC3339), h.Node, strings.Join(h.Endpoints, ",")))
	}
	return table(w, "FINGERPRINT\tHELD\tSINCE\tUNTIL\tNODE\tENDPOINTS", rows)
}
