// Package gatewaydemo runs gateway nodes with a site, a simulation of the users' platform, in one
// process on loopback. A site has a metadata store, model servers and a plain server.
package gatewaydemo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/internal/bootstrap"
	"github.com/cherryward/cherryward/internal/gateway"
	"github.com/cherryward/cherryward/platform"
	"github.com/cherryward/cherryward/standin/site"
)

const (
	// Key is the client account's key in the demo.
	Key = "loopback-key"

	nodes             = 2
	sessions          = 3
	turns             = 3
	readyTimeout      = 10 * time.Second
	readyPoll         = 20 * time.Millisecond
	heartbeatInterval = 200 * time.Millisecond
	eventInterval     = 10 * time.Millisecond
)

// Member is a running node.
type Member struct {
	*gateway.Node
	stop func() error
}

// Stop stops the node by cancelling its context, as the daemon does on SIGTERM, and returns the error
// of its Run. Further calls return the same.
func (m *Member) Stop() error { return m.stop() }

// StartNode starts a node of the site on this host.
func StartNode(s *site.Site, name string, log zerolog.Logger) (*Member, error) {
	return StartNodeOn(gateway.SystemHost(), s, name, log)
}

// StartNodeOn starts a node of the site on the given host.
func StartNodeOn(host gateway.Host, s *site.Site, name string, log zerolog.Logger) (*Member, error) {
	load := func() (*bootstrap.Node, error) { return platform.ParseBoot([]byte(s.BootFile(name))) }
	boot, err := load()
	if err != nil {
		return nil, err
	}
	n, err := gateway.NewOn(host, boot, gateway.BootSource{Load: load}, log)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	stop := func() error {
		cancel()
		return <-done
	}
	return &Member{Node: n, stop: sync.OnceValue(stop)}, nil
}

// WaitReady waits until the node accepts requests. It fails after readyTimeout.
func (m *Member) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for !m.Ready() {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "wait for a node to become ready")
		case <-ticker.C:
		}
	}
	return nil
}

// Run starts a site and nodes, sends requests and prints the status, time to the response headers and
// size of each response. If serve is true it then runs until ctx is done.
func Run(ctx context.Context, out io.Writer, log zerolog.Logger, serve bool) error {
	s, err := site.Start(site.Config{HeartbeatInterval: heartbeatInterval, EventInterval: eventInterval})
	if err != nil {
		return err
	}
	defer s.Close()
	s.Configure(1, Key)
	var members []*Member
	for i := range nodes {
		m, err := StartNode(s, fmt.Sprint("node-", i+1), log)
		if err != nil {
			return err
		}
		defer func() { _ = m.Stop() }() // errors during shutdown are ignored
		if err := m.WaitReady(ctx); err != nil {
			return err
		}
		members = append(members, m)
	}
	if err := sendRequests(ctx, out, members); err != nil {
		return err
	}
	if serve {
		fmt.Fprintf(out, "\nTry it:\n  curl http://%s%sx -H 'Host: %s' -H 'Authorization: Bearer %s'\n", members[0].CallersAddr(), site.PathLookup, site.Host, Key)
		<-ctx.Done()
	}
	return nil
}

// sendRequests sends the turns of several sessions to the nodes in rotation, and a lookup request.
func sendRequests(ctx context.Context, out io.Writer, members []*Member) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REQUEST\tNODE\tSTATUS\tHEADERS AFTER\tBYTES")
	for turn := range turns {
		for session := range sessions {
			id := fmt.Sprintf("a%d%d", session, turn)
			cells, err := sendRequest(ctx, members[turn%len(members)], site.PathQuery+"x", id, fmt.Sprintf("5e551%d", session))
			if err != nil {
				return err
			}
			fmt.Fprintf(table, "session %d, turn %d\tnode-%d\t%s\n", session+1, turn+1, turn%len(members)+1, cells)
		}
	}
	cells, err := sendRequest(ctx, members[0], site.PathLookup+"x", "b1", "")
	if err != nil {
		return err
	}
	fmt.Fprintf(table, "lookup\tnode-1\t%s\n", cells)
	return table.Flush()
}

// sendRequest sends a request and returns the table cells for its status, time to the response headers
// and size.
func sendRequest(ctx context.Context, m *Member, path, id, session string) (cells string, err error) {
	req, err := site.Request(ctx, m.CallersAddr(), http.MethodGet, path, Key, id, session)
	if err != nil {
		return "", err
	}
	begin := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", eris.Wrap(err, "send a request to a node")
	}
	headersAfter := time.Since(begin)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", eris.Wrap(err, "read a response")
	}
	return fmt.Sprintf("%d\t%s\t%d", resp.StatusCode, headersAfter.Round(time.Millisecond), len(body)), nil
}
