package ctl

import (
	"cmp"
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
	// pathEndpoints is the path of the list of restricted endpoints at a gateway node's
	// ready address.
	pathEndpoints = "/endpoints"
)

func endpointsCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:  "endpoints",
		Usage: "show the endpoints that are rate limited, draining, cold, slow or in backoff, or whose service has several releases, in a gateway node's view",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagNodeReady, Sources: cli.EnvVars("CHERRYCTL_READY"), Usage: "`IP:PORT` of the node's readiness listener"},
			outputFlag(),
		},
		OnUsageError: asUsageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := checkArgs(cmd, 0, 0); err != nil {
				return err
			}
			addr, err := netip.ParseAddrPort(cmd.String(flagNodeReady))
			if err != nil || addr.Port() == 0 {
				return usagef("--ready or CHERRYCTL_READY: %q: must be IP:PORT", cmd.String(flagNodeReady))
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

// readEndpoints requests the list of restricted endpoints from a node.
func readEndpoints(ctx context.Context, node netip.AddrPort) ([]fleet.Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.String()+pathEndpoints, nil)
	if err != nil {
		return nil, eris.Wrap(err, "create request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "request endpoints from node")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("the node responded with status %d, expected 200", resp.StatusCode)
	}
	var listed []fleet.Status
	return listed, eris.Wrap(json.NewDecoder(resp.Body).Decode(&listed), "decode the node's list of endpoints")
}

func showEndpoints(w io.Writer, listed []fleet.Status, format string) error {
	if format == formatJSON {
		return writeJSON(w, listed)
	}
	rows := make([]string, 0, len(listed))
	for i := range listed {
		s := &listed[i]
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%t\t%s", s.Endpoint, s.Service, s.Domain, cmp.Or(s.Release, noValue), limitText(s.Limit), backoffText(s.Backoff), drainingText(s), s.Cold, slowText(s.SlowFactor)))
	}
	return writeTable(w, "ENDPOINT\tSERVICE\tDOMAIN\tRELEASE\tLIMIT\tBACKOFF\tDRAINING\tCOLD\tSLOW", rows)
}

const noValue = "-"

func limitText(l *fleet.LimitStatus) string {
	if l == nil {
		return noValue
	}
	source := "told"
	if l.Direct {
		source = "answer"
	}
	return fmt.Sprintf("%g/s (%s %s ago)", l.PerSecond, source, milliseconds(l.AgeMs))
}

func backoffText(b *fleet.BackoffStatus) string {
	if b == nil {
		return noValue
	}
	return fmt.Sprintf("%s (asked %s ago)", milliseconds(b.LeftMs), milliseconds(b.AgeMs))
}

func drainingText(s *fleet.Status) string {
	switch {
	case s.DrainingForMs != nil:
		return fmt.Sprintf("answer %s ago", milliseconds(*s.DrainingForMs))
	case s.Draining:
		return "entry"
	}
	return noValue
}

func slowText(factor float64) string {
	if factor <= 0 {
		return noValue
	}
	return fmt.Sprintf("%.1fx", factor)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
