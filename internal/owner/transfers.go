package owner

import (
	"context"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/kvcache"
)

// engineTransfers implements block transfers of one engine.
type engineTransfers struct {
	reader EngineReader
	url    string
}

var _ kvcache.Engine = engineTransfers{}

// Export implements kvcache.Engine.
func (e engineTransfers) Export(ctx context.Context, t kvcache.Transfer) ([]kvcache.TransferResult, error) {
	return transferResults(e.reader.Export(ctx, e.url, transferRequest(t)))
}

// Import implements kvcache.Engine.
func (e engineTransfers) Import(ctx context.Context, t kvcache.Transfer) ([]kvcache.TransferResult, error) {
	return transferResults(e.reader.Import(ctx, e.url, transferRequest(t)))
}

func transferRequest(t kvcache.Transfer) *enginewire.TransferRequest {
	req := &enginewire.TransferRequest{Store: t.Store, BytesPerSecond: t.BytesPerSecond, TimeoutMS: t.Timeout.Milliseconds()}
	for _, b := range t.Blocks {
		req.Blocks = append(req.Blocks, enginewire.BlockTransfer{
			Block:    b.Block,
			Name:     b.Name,
			Bytes:    b.Bytes,
			Checksum: b.Checksum,
			Version:  b.Version,
			Salt:     b.Salt,
		})
	}
	return req
}

func transferResults(resp *enginewire.TransferResponse, err error) ([]kvcache.TransferResult, error) {
	if err != nil {
		return nil, err
	}
	out := make([]kvcache.TransferResult, 0, len(resp.Results))
	for _, r := range resp.Results {
		out = append(out, kvcache.TransferResult{Block: r.Block, OK: r.OK, Checksum: r.Checksum, Bytes: r.Bytes})
	}
	return out, nil
}
