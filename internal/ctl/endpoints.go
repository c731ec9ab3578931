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
	// pathEndpoints is where a gateway node tells what endpoints have said, at its ready address.
	pathEndpoints = "/endpoints"
)

func endpointsCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:  "endpoints",
		Usage: "show the endpoints that are limited, resting, leaving or cold, as a gateway node knows them",
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
			said, err := readEndpoints(ctx, addr)
			if err != nil {
				return result.Wrap(err, result.EndpointUnreachable)
			}
			return showEndpoints(s.Out, said, cmd.String(flagOutput))
		},
	}
}

// readEndpoints asks a node what endpoints have said.
func readEndpoints(ctx context.Context, node netip.AddrPort) ([]fleet.Said, error) {
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
	var said []fleet.Said
	return said, eris.Wrap(json.NewDecoder(resp.Body).Decode(&said), "read a node's answer")
}

func showEndpoints(w io.Writer, said []fleet.Said, format string) error {
	if format == formatJSON {
		return writeJSON(w, said)
	}
	rows := make([]string, 0, len(said))
	for i := range said {
		s := &said[i]
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%t", s.Endpoint, s.Service, s.Domain, limitText(s.Limit), restText(s.Rest), leavingText(s), s.Cold))
	}
	return table(w, "ENDPOINT\tSERVICE\tDOMAIN\tLIMIT\tREST\tLEAVING\tCOLD", rows)
}

const nothingSaid = "-"

func limitText(l *fleet.SaidLimit) string {
	if l == nil {
		return nothingSaid
	}
	by := "told"
	if l.Own {
		by = "answer"
	}
	return fmt.Sprintf("%g/s (%s %s ago)", l.PerSecond, by, ms(l.AgeMs))
}

func restText(r *fleet.SaidRest) string {
	if r == nil {
		return nothingSaid
	}
	return fmt.Sprintf("%s (asked %s ago)", ms(r.LeftMs), ms(r.AgeMs))
}

func leavingText(s *fleet.Said) string {
	switch {
	case s.LeavingForMs != nil:
		return fmt.Sprintf("answer %s ago", ms(*s.LeavingForMs))
	case s.Draining:
		return "entry"
	}
	return nothingSaid
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
