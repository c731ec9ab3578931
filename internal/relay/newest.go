package relay

import (
	"context"
	"errors"
	"net/netip"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/follow"
)

// Newest implements follow.Topic. If MayReadAll is set, the readers' copies are used first: when all
// nodes of a large system start together, the store would have to send each of them everything. A copy of
// any age is taken if it has more than this node's own.
func (t *Topic) Newest(ctx context.Context) (follow.Page, error) {
	if t.MayReadAll == nil {
		return t.newestFromStore(ctx)
	}
	for delay := minSnapshotRetry; ; delay = min(2*delay, snapshotRetry) {
		page, err := t.allFromReaders(ctx, 0)
		if err == nil {
			page.Records = slices.DeleteFunc(page.Records, func(r follow.Record) bool { return r.Value == nil })
			t.setRelayed(true, nil)
			return page, nil
		}
		if t.mayReadAll(err) {
			t.setRelayed(false, err)
			return t.newestFromStoreOrBackup(ctx)
		}
		if errors.Is(err, errStale) {
			delay = snapshotRetry
		}
		retry.Sleep(ctx, delay)
		if ctx.Err() != nil {
			return follow.Page{}, ctx.Err()
		}
	}
}

// newestFromStoreOrBackup reads all records from the store or, if that fails, from a backup whose copy is recent: a node
// that doesn't reach the store would otherwise never have what came after a new era or a compaction.
func (t *Topic) newestFromStoreOrBackup(ctx context.Context) (follow.Page, error) {
	page, err := t.newestFromStore(ctx)
	if err == nil {
		return page, nil
	}
	backup, backupErr := t.allFrom(ctx, follow.SourceBackup, t.silent.without(t.Backups()), 0)
	if backupErr != nil || backup.Age >= t.maxAge() {
		return follow.Page{}, err
	}
	t.setRelayed(true, err)
	return backup, nil
}

// allFromReaders returns all records that another node's copy holds, from the first reader whose copy is
// recent, or from a standby or backup if this node spares the store. If from is not 0, the removed keys since
// that offset are among them. If from is 0 and no copy is recent, it returns the records of one that isn't. It
// fails if no node has them.
func (t *Topic) allFromReaders(ctx context.Context, from int64) (page follow.Page, err error) {
	readers := t.Readers()
	if len(readers) == 0 {
		readers = callIfSet(t.Candidates)
	}
	page, err = t.allFrom(ctx, follow.SourceReader, t.silent.without(readers), from)
	for _, others := range t.others() {
		if err == nil && page.Age < t.maxAge() {
			break
		}
		other, otherErr := t.allFrom(ctx, follow.SourceBackup, others, from)
		switch {
		case otherErr == nil && (err != nil || other.Age < page.Age):
			page, err = other, nil
		case err != nil:
			err = moreTelling(err, otherErr)
		}
	}
	if err == nil && from != 0 && page.Age >= t.maxAge() {
		return follow.Page{}, eris.Wrapf(errStale, "age of snapshot %v", page.Age)
	}
	return page, err
}

// allFrom returns all records of the first of some nodes whose copy is recent, or else those of the most recent
// copy. It fails with errStale if some responded and their copies are of no use, and with ErrUnknown otherwise.
func (t *Topic) allFrom(ctx context.Context, kind follow.SourceKind, nodes []netip.AddrPort, from int64) (best follow.Page, err error) {
	err = ErrUnknown
	for range min(len(nodes), maxOthers) {
		source := follow.Source{Kind: kind, Node: t.preferred(nodes)}
		page, readErr := t.observe(source, func() (follow.Page, error) { return t.readSnapshot(ctx, source.Node, from) })
		switch {
		case readErr == nil && (err != nil || page.Age < best.Age):
			best, err = page, nil
		case err != nil && errors.Is(readErr, errStale):
			err = readErr
		}
		if err == nil && best.Age < t.maxAge() {
			return best, nil
		}
		t.failures++
	}
	return best, err
}
