package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/cherryward/cherryward/internal/fleet"
	"github.com/cherryward/cherryward/internal/result"
)

const (
	flagNodeReady = "ready"
	// pathEndpoints is where a gateway node lists restricted endpoints, at its ready address.
	pathEndpoints = "/endpoints"
)

func endpointsCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:  "endpoints",
		Usage: "show the endpoints that are limited, draining, cold or backing off, as a gateway node knows them",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagNodeReady, Sources: cli.EnvVars("CHERRYCTL_READY"), Usage: "`IP:PORT` where the node answers the balancer"},
			outputFlag(),
		},
		OnUsageError: wrongUsage,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := wantArgs(cmd, 0, 0); err != nil {
				return err
			}
			addr, err := netip.ParseAddrPort(cmd.String(flagNodeReady))
			if err != nil || addr.Port() == 0 {
				return usagef("--ready or CHERRYCTL_READY: %q: want IP:PORT", cmd.String(flagNodeReady))
			}
			ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
			defer cancel()
			listed, err := readEndpoints(ctx, addr)
			if err != nil {
				return result.Wrap(err, result.EndpointUnreachable)
			}
			return showEndpoints(s.Out, listed, cmd.String(flagOutput))
		},
	}
}

// readEndpoints asks a node which endpoints are restricted.
func readEndpoints(ctx context.Context, node netip.AddrPort) ([]fleet.Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.String()+pathEndpoints, nil)
	if err != nil {
		return nil, eris.Wrap(err, "make a request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "ask a node")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("the node answered with status %d", resp.StatusCode)
	}
	var listed []fleet.Status
	return listed, eris.Wrap(json.NewDecoder(resp.Body).Decode(&listed), "read a node's answer")
}

func showEndpoints(w io.Writer, listed []fleet.Status, format string) error {
	if format == formatJSON {
		return writeJSON(w, listed)
	}
	rows := make([]string, 0, len(listed))
	for i := range listed {
		s := &listed[i]
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%t", s.Endpoint, s.Service, s.Domain, limitText(s.Limit), backoffText(s.Backoff), drainingText(s), s.Cold))
	}
	return table(w, "ENDPOINT\tSERVICE\tDOMAIN\tLIMIT\tBACKOFF\tDRAINING\tCOLD", rows)
}

const none = "-"

func limitText(l *fleet.LimitStatus) string {
	if l == nil {
		return none
	}
	by := "told"
	if l.Direct {
		by = "answer"
	}
	return fmt.Sprintf("%g/s (%s %s ago)", l.PerSecond, by, ms(l.AgeMs))
}

func backoffText(b *fleet.BackoffStatus) string {
	if b == nil {
		return none
	}
	return fmt.Sprintf("%s (asked %s ago)", ms(b.LeftMs), ms(b.AgeMs))
}

func drainingText(s *fleet.Status) string {
	switch {
	case s.DrainingForMs != nil:
		return fmt.Sprintf("answer %s ago", ms(*s.DrainingForMs))
	case s.Draining:
		return "entry"
	}
	return none
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
