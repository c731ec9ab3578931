package origin

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/coord/retry"
)

const (
	// copyMethod is the call that asks for records of which the asking node is a home. It may be repeated.
	copyMethod = "node.copy_streams"

	// pageRecords is the mean number of records of a page. At most maxMessageRecords fit.
	pageRecords = 16
	maxPages    = maxRecords / pageRecords
	// completeCopies is the number of nodes of a small system that are asked for all of their records: one may
	// have missed some.
	completeCopies = 2
	// pagePause is the time between two pages, which bounds the load of the node that is asked.
	pagePause = time.Millisecond
	// copyAttempts is the number of times that a page is asked for, and copyBackoff the time between.
	copyAttempts = 3
	copyBackoff  = 20 * time.Millisecond
)

// copyRequest is the parameter of copyMethod. It asks for one of several pages of about equal size.
type copyRequest struct {
	Home  netip.AddrPort `json:"home"` // the asking node
	Page  int            `json:"page"`
	Pages int            `json:"pages"`
}

// copyResponse is the result of copyMethod.
type copyResponse struct {
	// Total is the number of records of the page, of which not all may fit.
	Total int `json:"total"`
	// Copied is true if the node has itself copied the records of the others since its start.
	Copied bool `json:"copied"`
	// Records are those that fit, at most maxMessageRecords.
	Records []record `json:"records"`
}

// copyRecords copies the records of which this node is a home, so that they outlast restarts of all of their
// homes in turn. If the others did not list this node before it started, they send it records once they do: it
// copies what it missed until then.
func (s *Service) copyRecords(ctx context.Context) {
	s.awaitList(ctx, func() bool { return len(s.peers) > 0 || s.isSettled() })
	s.copyFromOthers(ctx)
	s.copied.Store(ctx.Err() == nil)
	s.awaitList(ctx, s.isSettled)
	if !s.isSmall() && !s.config.WasListed() {
		s.copyFromOthers(ctx)
	}
}

// awaitList waits until a condition on the list of nodes holds, which is called with s.mu held.
func (s *Service) awaitList(ctx context.Context, holds func() bool) {
	for ctx.Err() == nil {
		s.mu.Lock()
		ready := holds()
		s.mu.Unlock()
		if ready {
			return
		}
		retry.Sleep(ctx, resendDelay)
	}
}

// isSmall reports whether all nodes are homes of all streams.
func (s *Service) isSmall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.homes.isSmall()
}

// sources returns the nodes that have the records of which this node is a home, in random order. small is true
// if each of them has all records.
func (s *Service) sources() (nodes []netip.AddrPort, small bool) {
	s.mu.Lock()
	peers, homes := slices.Clone(s.peers), s.homes
	s.mu.Unlock()
	nodes = slices.Clone(homes.all)
	if !homes.isSmall() {
		nodes = newHomes(append(peers, s.config.Self)).sharing(s.config.Self.Addr)
	}
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes, homes.isSmall()
}

// copyFromOthers copies the records of which this node is a home. In a small system each node that has been there
// for long has all of them; in a large one each has some.
func (s *Service) copyFromOthers(ctx context.Context) {
	began, records, nodes, completed := s.config.Now(), 0, 0, 0
	sources, small := s.sources()
	for _, node := range sources {
		if ctx.Err() != nil {
			return
		}
		count, complete := s.copyFrom(ctx, node)
		records, nodes = records+count, nodes+1
		if complete {
			completed++
		}
		if small && completed == completeCopies {
			break
		}
	}
	s.config.Log.Info().Str("event", "streams_copied").Int("records", records).Int("nodes", nodes).
		Int64("took_ms", s.config.Now().Sub(began).Milliseconds()).Send()
}

// copyFrom copies a node's records, and reports whether these are all that the node should have. The node is
// asked for all records in one page first, which tells how many pages they take.
func (s *Service) copyFrom(ctx context.Context, peer netip.AddrPort) (count int, complete bool) {
	all, err := s.copyPage(ctx, peer, 0, 1)
	if err != nil {
		return 0, false // silent, or of a build that doesn't know the method
	}
	if all.Total == len(all.Records) {
		return s.addPage(ctx, &all), all.Copied
	}
	complete = true
	pages := min((all.Total+pageRecords-1)/pageRecords, maxPages)
	for page := range pages {
		answer, err := s.copyPage(ctx, peer, page, pages)
		if err != nil {
			return count, false
		}
		count += s.addPage(ctx, &answer)
		complete = complete && answer.Copied
	}
	return count, complete
}

// addPage adds the records of a page, pauses until the next one may be asked for, and returns their number.
func (s *Service) addPage(ctx context.Context, answer *copyResponse) int {
	s.addAll(answer.Records)
	retry.Sleep(ctx, pagePause)
	return len(answer.Records)
}

// copyPage asks a node for a page, several times unless it answers.
func (s *Service) copyPage(ctx context.Context, peer netip.AddrPort, page, pages int) (_ copyResponse, err error) {
	q := copyRequest{Home: s.config.Self.Addr, Page: page, Pages: pages}
	for attempt := range copyAttempts {
		if attempt > 0 {
			retry.Sleep(ctx, copyBackoff)
		}
		var answer copyResponse
		if err = s.call(ctx, peer, copyMethod, q, &answer); err == nil {
			err = validate(answer.Records)
		}
		if err == nil {
			return answer, nil
		}
	}
	return copyResponse{}, err
}

// handleCopy answers a node that has started.
func (s *Service) handleCopy(params json.RawMessage) (any, error) {
	var q copyRequest
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, eris.Wrap(err, "decode a question for records")
	}
	if q.Pages < 1 || q.Pages > maxPages || q.Page < 0 || q.Page >= q.Pages {
		return nil, eris.Errorf("decode a question for records: page %d of %d", q.Page, q.Pages)
	}
	s.mu.Lock()
	homes := s.homes
	s.mu.Unlock()
	answer := copyResponse{Copied: s.copied.Load()}
	records := s.table.Select(func(k Key) bool { return pageOf(k, q.Pages) == q.Page && homes.has(k, q.Home) })
	answer.Total = len(records)
	answer.Records = records[:min(len(records), maxMessageRecords)]
	return answer, nil
}

// pageOf returns the page of a key. Keys are hashes, so pages are of about equal size.
func pageOf(k Key, pages int) int {
	return int(binary.BigEndian.Uint32(k[:]) % uint32(pages))
}
