package cluster

import (
	"context"

	"github.com/cherryward/cherryward/internal/peers"
)

// CallOwner calls a method on the node that owns a key. If this node is the owner, it
// calls serve directly. It returns the errors of peers.Call or of serve.
func CallOwner[Req, Resp any](ctx context.Context, c *Cluster, key, method string, req *Req, serve func(context.Context, *Req) (*Resp, error)) (*Resp, error) {
	node, addr := c.Owner(key)
	if node == c.self.ID {
		return serve(ctx, req)
	}
	return peers.Call[Req, Resp](ctx, c.Pool, addr, method, req)
}
