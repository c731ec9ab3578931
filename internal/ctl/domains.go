package ctl

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/platform"
)

func domainsCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:         "domains",
		Usage:        "show which failure domains are evacuated, and how many endpoints of each are cold or draining",
		Flags:        []cli.Flag{storeFlag(), outputFlag()},
		OnUsageError: asUsageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := checkArgs(cmd, 0, 0); err != nil {
				return err
			}
			store, err := storeFromFlags(cmd)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
			defer cancel()
			domains, err := readDomains(ctx, store)
			if err != nil {
				return result.Wrap(err, result.LogUnavailable)
			}
			return showDomains(s.Out, domains, cmd.String(flagOutput))
		},
	}
}

// storeFromFlags returns the platform's metadata store at the address in the flags.
func storeFromFlags(cmd *cli.Command) (*platform.Store, error) {
	addr, err := netip.ParseAddrPort(cmd.String(flagStore))
	if err != nil || addr.Port() == 0 {
		return nil, usagef("--store or CHERRYCTL_STORE: %q: must be IP:PORT", cmd.String(flagStore))
	}
	return platform.NewStore(addr.String(), zerolog.Nop()), nil
}

// domainStatus is the state of a failure domain by the store's newest records.
type domainStatus struct {
	Domain    string `json:"domain"`
	Evacuated bool   `json:"evacuated"`
	Endpoints int    `json:"endpoints"`
	Cold      int    `json:"cold"`
	// ColdForMs is the maximum remaining cold time of the domain's cold endpoints, by
	// their newest heartbeats.
	ColdForMs int64 `json:"cold_for_ms"`
	Draining  int   `json:"draining"`
}

// readDomains reads the operators' orders and the endpoints' entries, and returns the
// domains that either of them names. Entries that can't be decoded are ignored.
func readDomains(ctx context.Context, store *platform.Store) ([]*domainStatus, error) {
	orders, err := store.Topic(platform.TopicOperator).Newest(ctx)
	if err != nil {
		return nil, err
	}
	entries, err := store.Topic(platform.TopicEndpoints).Newest(ctx)
	if err != nil {
		return nil, err
	}
	byName := make(map[string]*domainStatus)
	statusOf := func(name string) *domainStatus {
		if byName[name] == nil {
			byName[name] = &domainStatus{Domain: name}
		}
		return byName[name]
	}
	for _, r := range orders.Records {
		if domain, ok := platform.EvacuatedDomain(r.Key); ok && r.Value != nil {
			statusOf(domain).Evacuated = true
		}
	}
	for _, r := range entries.Records {
		e, err := platform.DecodeEndpoint(r.Key, r.Value)
		if err != nil {
			continue
		}
		d := statusOf(e.Domain)
		d.Endpoints++
		if e.Draining {
			d.Draining++
		}
		if e.ColdLeft > 0 {
			d.Cold++
			d.ColdForMs = max(d.ColdForMs, e.ColdLeft.Milliseconds())
		}
	}
	domains := make([]*domainStatus, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		domains = append(domains, byName[name])
	}
	return domains, nil
}

func showDomains(w io.Writer, domains []*domainStatus, format string) error {
	if format == formatJSON {
		return writeJSON(w, domains)
	}
	rows := make([]string, 0, len(domains))
	for _, d := range domains {
		coldFor := time.Duration(d.ColdForMs) * time.Millisecond
		rows = append(rows, fmt.Sprintf("%s\t%t\t%d\t%d\t%s\t%d", d.Domain, d.Evacuated, d.Endpoints, d.Cold, coldFor, d.Draining))
	}
	return writeTable(w, "DOMAIN\tEVACUATED\tENDPOINTS\tCOLD\tCOLD FOR\tDRAINING", rows)
}
