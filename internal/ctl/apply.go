package ctl

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/result"
)

// objectWriter sends changes of objects one at a time and prints the outcome of each.
type objectWriter struct {
	client *client
	out    io.Writer
	wait   bool

	// lastRequest is the newest accepted change. It was sent at lastSent, and
	// lastResponse is its response.
	lastRequest  *pb.ApplyRequest
	lastSent     time.Time
	lastResponse *pb.ApplyResponse
}

// applyAll sends the change of every object, even if one of them fails.
func (w *objectWriter) applyAll(ctx context.Context, objects []parsedObject) error {
	var failures []error
	for i, o := range objects {
		err := w.applyOne(ctx, o, i == len(objects)-1)
		if err != nil {
			w.printLine(statusOf(err), o.id(), result.From(err).Error())
			failures = append(failures, fmt.Errorf("%s: %w", o.id(), err))
		}
	}
	if err := w.waitAndReport(ctx); err != nil {
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

func (w *objectWriter) applyOne(ctx context.Context, o parsedObject, final bool) error {
	current, err := w.client.get(ctx, string(o.kind), o.value.GetName())
	if err != nil {
		return err
	}
	if hasValue(current, o.value) {
		w.printLine("unchanged", o.id(), fmt.Sprintf("revision %d", current.GetRevision()))
		return nil
	}
	req := &pb.ApplyRequest{
		ChangeId: newChangeID(),
		BasedOn:  o.revision,
		Object:   config.ToObject(o.value, 0),
		Wait:     w.wait && final,
	}
	if req.BasedOn == 0 {
		req.BasedOn = current.GetRevision()
	}
	return w.write(ctx, req, "accepted", o.id())
}

// remove deletes one object. If basedOn is 0, the deletion is based on the object's
// current revision.
func (w *objectWriter) remove(ctx context.Context, kind config.Kind, name string, basedOn int64) error {
	if basedOn == 0 {
		current, err := w.client.get(ctx, string(kind), name)
		if err != nil {
			return err
		}
		basedOn = current.GetRevision()
	}
	req := &pb.ApplyRequest{
		ChangeId: newChangeID(),
		BasedOn:  basedOn,
		Object:   config.ToObject(config.NewNamed(kind, name), 0),
		Delete:   true,
		Wait:     w.wait,
	}
	if err := w.write(ctx, req, "deleted", string(kind)+"/"+name); err != nil {
		return err
	}
	return w.waitAndReport(ctx)
}

func (w *objectWriter) write(ctx context.Context, req *pb.ApplyRequest, done, id string) error {
	sent := time.Now()
	res, err := w.client.apply(ctx, req)
	if err != nil {
		return err
	}
	w.lastRequest, w.lastSent, w.lastResponse = req, sent, res
	w.printLine(done, id, fmt.Sprintf("revision %d", res.GetRevision()))
	return nil
}

// waitAndReport waits until every live node has applied the newest change, and prints the
// time that this took. Earlier changes are then applied as well, since the log orders all
// changes. If the newest change was sent without Wait, it is sent again with the same
// change id, so it is not applied twice.
func (w *objectWriter) waitAndReport(ctx context.Context) error {
	if !w.wait || w.lastRequest == nil {
		return nil
	}
	if !w.lastRequest.Wait {
		w.lastRequest.Wait = true
		res, err := w.client.apply(ctx, w.lastRequest)
		if err != nil {
			return err
		}
		w.lastResponse = res
	}
	if behind := w.lastResponse.GetWaitingFor(); len(behind) > 0 {
		return fmt.Errorf("accepted, but not yet applied at %s", strings.Join(behind, ", "))
	}
	_, err := fmt.Fprintf(w.out, "in force at every live node %.3f s after the last write\n", time.Since(w.lastSent).Seconds())
	return err
}

func (w *objectWriter) printLine(status, id, text string) {
	fmt.Fprintf(w.out, "%-10s %-32s %s\n", status, id, text)
}

func statusOf(err error) string {
	if result.Is(err, result.RevisionConflict) {
		return "conflict"
	}
	return "failed"
}

// hasValue reports whether the object already has the value.
func hasValue(current *pb.Object, value config.Value) bool {
	if current == nil {
		return false
	}
	old, err := config.FromObject(current)
	return err == nil && proto.Equal(old, value)
}

func newChangeID() string { return "ctl-" + rand.Text() }
