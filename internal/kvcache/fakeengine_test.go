package kvcache

import (
	"context"
	"crypto/sha256"
	"slices"
)

const fakeBlockBytes = 64

// fakeEngine copies blocks to and from the store. The correct contents of a block
// are derived from its id. It reports an incomplete write as successful, like an
// engine that does not detect a broken connection.
type fakeEngine struct {
	store      *fakeStore
	breakWrite func() bool       // reports whether to write the next block incompletely
	reported   map[string]string // checksums reported, by block name
}

var _ Engine = (*fakeEngine)(nil)

func blockContents(block string) []byte {
	sum := sha256.Sum256([]byte(block))
	return slices.Repeat(sum[:], fakeBlockBytes/len(sum))
}

func (e *fakeEngine) Export(_ context.Context, t Transfer) ([]TransferResult, error) {
	var out []TransferResult
	for _, b := range t.Blocks {
		data := blockContents(b.Block)
		r := TransferResult{Block: b.Block, OK: true, Checksum: checksumOf(data), Bytes: int64(len(data))}
		if e.reported == nil {
			e.reported = map[string]string{}
		}
		e.reported[b.Name] = r.Checksum
		err := e.store.call("write", func() error {
			bytes := len(data)
			if e.breakWrite != nil && e.breakWrite() {
				bytes /= 2
			}
			if e.store.write(b.Name, data, bytes) != nil {
				r.OK = false
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

func (e *fakeEngine) Import(_ context.Context, t Transfer) ([]TransferResult, error) {
	var out []TransferResult
	for _, b := range t.Blocks {
		r := TransferResult{Block: b.Block}
		err := e.store.call("read", func() error {
			stored, ok := e.store.blocks[b.Name]
			r.Bytes = int64(len(stored.data))
			r.OK = ok && stored.complete && checksumOf(stored.data) == b.Checksum
			if !r.OK {
				return nil
			}
			e.store.accepted++
			if string(stored.data) != string(blockContents(b.Block)) {
				e.store.recordViolation("engine accepted wrong contents for block %s", b.Block)
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}
