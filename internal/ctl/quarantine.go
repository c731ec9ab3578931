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

// flagStore is the flag for the address of the platform's metadata store.
const flagStore = "store"

func quarantineCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:     "quarantine",
		Usage:    "list and release requests that gateway nodes quarantined because endpoints failed while running them",
		Commands: []*cli.Command{quarantineListCommand(s), quarantineReleaseCommand(s)},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return usagef("quarantine: the command must be quarantine list or quarantine release FINGERPRINT, not %q", strings.Join(cmd.Args().Slice(), " "))
		},
	}
}

func storeFlag() cli.Flag {
	return &cli.StringFlag{Name: flagStore, Sources: cli.EnvVars("CHERRYCTL_STORE"), Usage: "`IP:PORT` of the platform's metadata store"}
}

func quarantineListCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:         "list",
		Usage:        "show which requests are quarantined, until when, and which endpoints failed while running them",
		Flags:        []cli.Flag{storeFlag(), outputFlag()},
		OnUsageError: asUsageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := checkArgs(cmd, 0, 0); err != nil {
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
		Usage:        "allow all nodes to send a quarantined request again",
		ArgsUsage:    "FINGERPRINT",
		Flags:        []cli.Flag{storeFlag()},
		OnUsageError: asUsageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := checkArgs(cmd, 1, 1); err != nil {
				return err
			}
			f, err := quarantine.ParseFingerprint(cmd.Args().First())
			if err != nil {
				return usagef("quarantine release: %q: must be the 32 hexadecimal digits of a fingerprint", cmd.Args().First())
			}
			topic, err := nodesTopic(cmd)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
			defer cancel()
			return releaseHold(ctx, s.Out, topic, f)
		},
	}
}

// releaseHold deletes the record of a quarantined request. It fails with UnknownObject
// if there is no such record.
func releaseHold(ctx context.Context, w io.Writer, topic *platform.Topic, f quarantine.Fingerprint) error {
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

// nodesTopic returns the topic with the records of quarantined requests, at the store in the flags.
func nodesTopic(cmd *cli.Command) (*platform.Topic, error) {
	store, err := storeFromFlags(cmd)
	if err != nil {
		return nil, err
	}
	return store.Topic(platform.TopicNodes), nil
}

// holdStatus is the JSON form of the record of a quarantined request.
type holdStatus struct {
	Fingerprint string    `json:"fingerprint"`
	Held        bool      `json:"held"` // false if Until has passed; the next failure of an endpoint quarantines the request again
	Since       time.Time `json:"since"`
	Until       time.Time `json:"until"`
	Node        string    `json:"node,omitempty"`
	// Kind is "request", or "part" for a part of prompts of one client account.
	Kind      string   `json:"kind"`
	Endpoints []string `json:"endpoints"`
}

// kindOf returns what is held.
func kindOf(h *quarantine.Hold) string {
	if h.Part {
		return "part"
	}
	return "request"
}

func showHolds(w io.Writer, holds []quarantine.Hold, now time.Time, format string) error {
	shown := make([]holdStatus, 0, len(holds))
	for _, h := range holds {
		shown = append(shown, holdStatus{
			Fingerprint: h.Fingerprint.String(), Held: now.Before(h.Until),
			Since: h.Since.UTC(), Until: h.Until.UTC(), Node: h.Node, Kind: kindOf(&h), Endpoints: h.Endpoints,
		})
	}
	if format == formatJSON {
		return writeJSON(w, shown)
	}
	rows := make([]string, 0, len(shown))
	for _, h := range shown {
		rows = append(rows, fmt.Sprintf("%s\t%t\t%s\t%s\t%s\t%s\t%s", h.Fingerprint, h.Held,
			h.Since.Format(time.RFC3339), h.Until.Format(time.RFC3339), h.Node, strings.Join(h.Endpoints, ","), h.Kind))
	}
	return writeTable(w, "FINGERPRINT\tHELD\tSINCE\tUNTIL\tNODE\tENDPOINTS\tKIND", rows)
}
