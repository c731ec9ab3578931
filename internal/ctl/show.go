package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/result"
)

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// watchRetryInterval is the time before a watch retries after every server has failed.
const watchRetryInterval = time.Second

// watchStopCodes lists the results after which a watch ends without trying another
// server, since every other server would return them as well.
var watchStopCodes = []result.Code{
	result.WatchOffsetGone, result.WatchTooSlow, result.OperatorCredential, result.InvalidObject,
}

// writeTable writes rows of tab-separated cells in aligned columns.
func writeTable(w io.Writer, head string, rows []string) error {
	tabs := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tabs, head)
	for _, row := range rows {
		fmt.Fprintln(tabs, row)
	}
	return tabs.Flush()
}

func showObjects(w io.Writer, objects []*pb.Object, format string) error {
	if format == formatJSON {
		return writeObjects(w, objects)
	}
	rows := make([]string, 0, len(objects))
	for _, o := range objects {
		value, err := config.FromObject(o)
		if err != nil {
			return err
		}
		text, err := config.Encode(value)
		if err != nil {
			return err
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d\t%s", config.KindOf(value), value.GetName(), o.GetRevision(), text))
	}
	return writeTable(w, "KIND\tNAME\tREVISION\tVALUE", rows)
}

func showStatus(w io.Writer, s *pb.StatusResponse, format string) error {
	if format == formatJSON {
		return showMessage(w, s)
	}
	nodes := make([]string, 0, len(s.GetNodes()))
	for _, n := range s.GetNodes() {
		state := n.GetState()
		if n.GetStale() {
			state += ", stale"
		}
		nodes = append(nodes, fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%x",
			n.GetId(), n.GetAddress(), n.GetFailureDomain(), state, n.GetApplied(), n.GetIncarnation()))
	}
	endpoints := make([]string, 0, len(s.GetEndpoints()))
	for _, e := range s.GetEndpoints() {
		endpoints = append(endpoints, fmt.Sprintf("%s\t%s\t%s\t%s\t%d\t%d\t%.0f\t%.0f%%\t%.1f",
			e.GetName(), kindName(e.GetKind()), e.GetOwner(), e.GetState(), e.GetRunning(), e.GetWaiting(),
			e.GetPrefillTokensPerSecond(), 100*e.GetCacheUsed(), float64(e.GetLinkBytesPerSecond())/(1<<20)))
	}
	fmt.Fprintf(w, "as seen by node %s\n\n", s.GetNode())
	if err := writeTable(w, "NODE\tADDRESS\tFAILURE DOMAIN\tSTATE\tAPPLIED\tINCARNATION", nodes); err != nil {
		return err
	}
	fmt.Fprintln(w)
	return writeTable(w, "ENDPOINT\tKIND\tOWNER\tSTATE\tRUNNING\tWAITING\tPREFILL TOK/S\tCACHE\tLINK MIB/S", endpoints)
}

func kindName(kind pb.EndpointKind) string {
	return strings.ToLower(strings.TrimPrefix(kind.String(), "ENDPOINT_KIND_"))
}

func showPlacement(w io.Writer, r *pb.ExplainRequestResponse, format string) error {
	if format == formatJSON {
		return showMessage(w, r)
	}
	rows := make([]string, 0, len(r.GetCandidates()))
	for _, c := range r.GetCandidates() {
		chosen := ""
		if c.GetEndpoint() == r.GetChosen() {
			chosen = "*"
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%.3f\t%.3f\t%d\t%d\t%s", chosen, c.GetEndpoint(),
			c.GetCostSeconds(), c.GetWaitSeconds(), c.GetRecomputeTokens(), c.GetImportBytes(), c.GetReason()))
	}
	fmt.Fprintf(w, "request %s went to %s\n\n", r.GetRequestId(), r.GetChosen())
	return writeTable(w, "\tENDPOINT\tCOST S\tWAIT S\tRECOMPUTE TOK\tIMPORT BYTES\tREASON", rows)
}

func showMessage(w io.Writer, m proto.Message) error {
	raw, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		return err
	}
	return writeJSON(w, json.RawMessage(raw))
}

// watch prints the changes after a revision until ctx ends. If a server fails, it prints
// the error to errs and continues at the next server without skipping changes.
func watch(ctx context.Context, c *client, w, errs io.Writer, after int64) error {
	for {
		for _, s := range c.servers {
			err := watchOne(ctx, s, w, &after)
			if ctx.Err() != nil {
				return nil
			}
			e := remoteError(err)
			if slices.Contains(watchStopCodes, e.Code) {
				return fmt.Errorf("%s: after revision %d: %w", s.url, after, e)
			}
			fmt.Fprintf(errs, "cherryctl: %s: after revision %d: %v\n", s.url, after, e)
		}
		if !retry.Sleep(ctx, watchRetryInterval) {
			return nil
		}
	}
}

// watchOne prints the changes from one server until its watch ends, and sets after to the
// revision of the last one.
func watchOne(ctx context.Context, s nodeServer, w io.Writer, after *int64) error {
	stream, err := s.config.Watch(ctx, connect.NewRequest(&pb.WatchRequest{After: *after}))
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		if err := showChange(w, stream.Msg()); err != nil {
			return err
		}
		*after = stream.Msg().GetObject().GetRevision()
	}
	if err := stream.Err(); err != nil {
		return err
	}
	return errors.New("the server ended the watch")
}

func showChange(w io.Writer, res *pb.WatchResponse) error {
	value, err := config.FromObject(res.GetObject())
	if err != nil {
		return err
	}
	action := "written"
	if res.GetDeleted() {
		action = "deleted"
	}
	_, err = fmt.Fprintf(w, "%-8d %-8s %s/%s %s\n", res.GetObject().GetRevision(), action,
		config.KindOf(value), value.GetName(), res.GetChangeId())
	return err
}

func showCode(w io.Writer, info result.Info) error {
	retry := "no"
	if info.Retry {
		retry = "yes"
	}
	_, err := fmt.Fprintf(w, "%d %s\n  HTTP status  %d\n  run state    %s\n  safe retry   %s\n  meaning      %s\n  what to do   %s\n",
		int(info.Code), info.Name, info.Status, info.RunState, retry, info.Meaning, info.Action)
	return err
}
