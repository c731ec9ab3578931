package relay

import (
	"cmp"
	"context"
	"errors"
	"net/netip"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/cherryward/cherryward/coord/retry"
)

// call calls a method of a node within the time of a request.
func (t *Topic) call(ctx context.Context, node netip.AddrPort, method string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(t.RequestTimeout, defaultRequestTimeout))
	defer cancel()
	err := t.Relay.conn.Call(ctx, node, method, request, response)
	t.silent.record(node, !errors.Is(err, context.DeadlineExceeded))
	return err
}

// callAgain is call for a part: it repeats the call if the response is lost, or if the node refuses it and the
// refusal isn't final, since the node is busy then.
func (t *Topic) callAgain(ctx context.Context, node netip.AddrPort, method string, request, response any, final func(*jsonrpc2.Error) bool) (err error) {
	for range chunkAttempts {
		if err = t.call(ctx, node, method, request, response); err == nil || ctx.Err() != nil {
			return err
		}
		var refusal *jsonrpc2.Error
		if errors.As(err, &refusal) {
			if final(refusal) {
				return err
			}
			retry.Sleep(ctx, snapshotRetry)
		}
	}
	return err
}
