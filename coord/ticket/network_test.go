package ticket_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cherryward/cherryward/coord/ticket"
)

// lookup simulates a list of members that is wrong with probability 1/8.
func (c *cluster) lookup(pick func(int) int, inc ticket.Incarnation) ticket.Presence {
	if pick(8) == 0 {
		return ticket.Presence{Status: ticket.Status(pick(3)), Addr: strconv.Itoa(pick(3))}
	}
	nodes := c.currentNodes()
	for i, p := range nodes {
		for _, served := range p.exec.Serving() {
			if served == inc && !p.dead.Load() {
				return ticket.Presence{Status: ticket.Alive, Addr: strconv.Itoa(i)}
			}
		}
	}
	for i, p := range nodes {
		if p.self == inc && !p.dead.Load() {
			return ticket.Presence{Status: ticket.Unknown, Addr: strconv.Itoa(i)}
		}
	}
	return ticket.Presence{Status: ticket.Gone}
}

var errLost = errors.New("connection lost")

// faultyLink is a Forwarder that randomly loses or delays calls and answers.
type faultyLink struct {
	cluster     *cluster
	pick        func(int) int
	ticketIndex int
}

var _ ticket.Forwarder = faultyLink{}

func (l faultyLink) Forward(ctx context.Context, addr string, call ticket.Call) (ticket.Answer, error) {
	i, _ := strconv.Atoi(addr)
	p := l.cluster.currentNodes()[i]
	outcome := l.pick(6)
	if p.dead.Load() || outcome == 0 {
		return nil, fmt.Errorf("dial: %w", ticket.ErrNotSent)
	}
	if outcome == 1 { // the call fails for the caller but is delivered later
		go func() {
			time.Sleep(time.Duration(l.pick(9)) * time.Second)
			l.deliver(ctx, p, call)
		}()
		return nil, errLost
	}
	answer, err := l.deliver(ctx, p, call)
	if outcome != 2 && !p.dead.Load() {
		return answer, err
	}
	if l.cluster.injectedFault == faultRetryElsewhere {
		return l.cluster.run(p, l.pick, l.ticketIndex)(ctx)
	}
	return nil, errLost
}

func (l faultyLink) deliver(ctx context.Context, p *process, call ticket.Call) (ticket.Answer, error) {
	answer, err := p.exec.Serve(ctx, call, l.cluster.run(p, l.pick, l.ticketIndex))
	var sent *ticket.Error
	if !errors.As(err, &sent) {
		return answer, err
	}
	encoded, _ := json.Marshal(sent)
	received := &ticket.Error{}
	l.cluster.check(json.Unmarshal(encoded, received) == nil, "error %s is not decodable", encoded)
	return nil, received
}

// run returns the service call, which counts executions and randomly refuses the
// call, fails after executing it, or answers.
func (c *cluster) run(p *process, pick func(int) int, ticketIndex int) ticket.RunFunc {
	return func(context.Context) (ticket.Answer, error) {
		time.Sleep(time.Duration(pick(4)) * time.Second)
		if p.dead.Load() {
			return nil, errLost
		}
		outcome := pick(4)
		if outcome == 0 {
			return nil, ticket.Refused(errors.New("shed"))
		}
		c.recordExecution(ticketIndex)
		time.Sleep(time.Duration(pick(4)) * time.Second)
		if outcome == 1 {
			return nil, errLost
		}
		return ticket.Answer(strconv.Itoa(ticketIndex)), nil
	}
}

func (c *cluster) recordExecution(ticketIndex int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tickets[ticketIndex]
	t.executions++
	c.check(t.executions == 1, "ticket %d ran %d times", ticketIndex, t.executions)
	c.check(!t.notRun, "ticket %d ran after not_run", ticketIndex)
}
