package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherryward/cherryward/coord/retry"
	"github.com/cherryward/cherryward/internal/follow"
)

// startPart is a part of what a node needs to serve well after its start.
type startPart int

const (
	partNodes    startPart = iota // the list of nodes
	partConfig                    // the configuration
	partRegistry                  // the registry
	partStores                    // what the KV-cache stores keep, or the decision to ask them
	partReady                     // the balancer was told that the node is ready
	startParts
)

// startPartNames are the log fields of the parts.
var startPartNames = [startParts]string{"nodes_ms", "config_ms", "registry_ms", "stores_ms", "ready_ms"}

// startReports are the times after the start at which a node that is not ready logs what it lacks.
var startReports = []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second}

// startLog records when each part of a start came. It is safe for concurrent use.
type startLog struct {
	started time.Time
	since   func(time.Time) time.Duration
	at      [startParts]atomic.Int64 // milliseconds after the start, plus 1; 0 if it has not come
	log     zerolog.Logger
}

// reach records that a part has come, the first time, and logs all of them once the node is ready.
func (s *startLog) reach(part startPart) {
	ms := s.since(s.started).Milliseconds() + 1
	if s.at[part].CompareAndSwap(0, ms) && part == partReady {
		s.send("started")
	}
}

// send logs the parts that have come.
func (s *startLog) send(event string) {
	line := s.log.Info().Str("event", event)
	for part, name := range startPartNames {
		if ms := s.at[part].Load(); ms > 0 {
			line.Int64(name, ms-1)
		}
	}
	line.Send()
}

// watch logs what has come at a node that is not ready, some times after its start, until ctx is done.
func (s *startLog) watch(ctx context.Context) error {
	for _, after := range startReports {
		retry.Sleep(ctx, after-s.since(s.started))
		if ctx.Err() != nil || s.at[partReady].Load() > 0 {
			break
		}
		s.send("starting")
	}
	<-ctx.Done()
	return nil
}

// startSink records that a topic was read for the first time.
type startSink struct {
	follow.Sink
	log  *startLog
	part startPart
}

// Apply implements follow.Sink.
func (s startSink) Apply(b follow.Batch) {
	s.Sink.Apply(b)
	s.log.reach(s.part)
}
