package scenarios

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/demo"
	"github.com/cherryward/cherryward/internal/invariant"
	"github.com/cherryward/cherryward/internal/result"
)

// configure writes the complete configuration and waits until all nodes have applied it.
func (w *world) configure(a *args) error {
	n, err := w.find(a.word(0))
	if err != nil {
		return err
	}
	for _, other := range w.order {
		if !w.poll(awaitLimit, func() bool { return w.sawAllNodes(other) }) {
			return fmt.Errorf("%s does not see all nodes alive", other.id)
		}
	}
	objects := w.fleet.Objects()
	for i, object := range objects {
		req := &pb.ApplyRequest{ChangeId: fmt.Sprintf("configure-%d", i), Object: object, Wait: i == len(objects)-1}
		if err := w.write(n, req); err != nil {
			return fmt.Errorf("configure: %w", err)
		}
	}
	return nil
}

// write applies one object and records the accepted revision.
func (w *world) write(n *nodeProcess, req *pb.ApplyRequest) error {
	ctx, cancel := context.WithTimeout(w.ctx, awaitLimit)
	defer cancel()
	resp, err := demo.ClientAt(n.operators).Apply(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history.Accepted = append(w.history.Accepted, invariant.Accepted{Object: objectID(req.GetObject()), Revision: resp.Msg.GetRevision(), Delete: req.GetDelete()})
	if late := resp.Msg.GetWaitingFor(); len(late) > 0 {
		return fmt.Errorf("accepted, but not applied at %v", late)
	}
	return nil
}

func objectID(o *pb.Object) string {
	v, err := config.FromObject(o)
	if err != nil {
		return ""
	}
	return string(config.KindOf(v)) + "/" + v.GetName()
}

// apply writes the object in a file, and saves the outcome under a name.
func (w *world) apply(a *args) error {
	name := a.word(0)
	n, err := w.find(a.text("at", "n1"))
	if err != nil {
		return err
	}
	req := &pb.ApplyRequest{
		ChangeId: a.text("change", name),
		BasedOn:  int64(a.number("based_on", 0)),
		Object:   new(pb.Object),
		Wait:     a.flag("wait", false),
	}
	if a.flag("newest", false) {
		req.BasedOn = n.revision(a.word(1))
	}
	file, err := os.ReadFile(a.ts.MkAbs(a.text("file", "")))
	if err == nil {
		err = protojson.Unmarshal(file, req.Object)
	}
	if err != nil {
		return err
	}
	return w.start(a, &outcome{name: name, entry: n}, func(o *outcome) {
		o.setError(wireCode(w.write(n, req)))
	})
}

// wireCode returns the result code, run state and message of an operator RPC's error.
func wireCode(err error) (result.Code, result.RunState, string) {
	var wire *connect.Error
	if err == nil {
		return 0, "", ""
	}
	if errors.As(err, &wire) {
		for _, detail := range wire.Details() {
			value, valueErr := detail.Value()
			if d, ok := value.(*pb.ResultDetail); ok && valueErr == nil {
				return result.Code(d.GetNumber()), result.RunState(d.GetRunState()), d.GetMessage()
			}
		}
	}
	return result.Internal, "", err.Error()
}

// leave marks an engine as leaving, in the host list, the engine or the configuration.
func (w *world) leave(a *args) error {
	name := a.word(0)
	base, err := w.base(name)
	if err != nil {
		return err
	}
	switch by := a.text("by", ""); by {
	case "hosts":
		w.fleet.Hosts.Leaving(name)
	case "engine":
		order := fmt.Sprintf(`{"token":1,"kind":%q,"role":"leaving"}`, enginewire.OrderRole)
		if err := postJSON(base+enginewire.PathOrders, order); err != nil {
			return err
		}
	case "configuration":
		if err := w.leaveByConfiguration(a, name); err != nil {
			return err
		}
	default:
		return fmt.Errorf("by=%q", by)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history.Leaves = append(w.history.Leaves, invariant.Leave{Endpoint: name, At: time.Now()})
	return nil
}

func (w *world) leaveByConfiguration(a *args, name string) error {
	n, err := w.find(a.text("at", "n1"))
	if err != nil {
		return err
	}
	got, err := demo.ClientAt(n.operators).Get(w.ctx, connect.NewRequest(&pb.GetRequest{Kind: string(config.KindEndpoint), Name: name}))
	if err != nil {
		return err
	}
	object := got.Msg.GetObject()
	object.GetEndpoint().Leaving = true
	return w.write(n, &pb.ApplyRequest{ChangeId: "leave-" + name, BasedOn: object.GetRevision(), Object: object})
}

func postJSON(url, body string) error {
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return nil
}
