package ticket_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/coord/ticket"
)

var (
	self        = ticket.Incarnation{Node: "n1", Number: 11}
	peer        = ticket.Incarnation{Node: "n2", Number: 22}
	fingerprint = ticket.FingerprintOf([]byte("submit batch 7"))
)

// service is a non-idempotent service that counts its executions.
type service struct{ count atomic.Int64 }

func (s *service) executions() int { return int(s.count.Load()) }

func (s *service) submit(context.Context) (ticket.Answer, error) {
	return ticket.Answer(fmt.Sprintf("accepted %d", s.count.Add(1))), nil
}

func (s *service) slow(ctx context.Context) (ticket.Answer, error) {
	time.Sleep(5 * time.Second)
	return s.submit(ctx)
}

func (s *service) refuse(context.Context) (ticket.Answer, error) {
	return nil, ticket.Refused(errors.New("queue full"))
}

func (s *service) runAndFail(ctx context.Context) (ticket.Answer, error) {
	s.submit(ctx)
	return nil, errors.New("connection reset")
}

func (s *service) panicBeforeRun(context.Context) (ticket.Answer, error) { panic("bug") }

func newExecutor(t *testing.T, self ticket.Incarnation) *ticket.Executor {
	e, err := ticket.New(config(self))
	must.NoError(t, err)
	return e
}

func issue(t *testing.T, e *ticket.Executor, n int) []ticket.Ticket {
	batch, err := e.Issue("acme", n)
	must.NoError(t, err)
	parsed := make([]ticket.Ticket, n)
	for i, text := range batch {
		parsed[i], err = ticket.Parse(key, text)
		must.NoError(t, err)
	}
	return parsed
}

// TestRetry makes two attempts with one ticket and checks that the retry never
// runs the call again and what it returns.
func TestRetry(t *testing.T) {
	tests := map[string]struct {
		first      func(*service) ticket.RunFunc
		between    func(*ticket.Executor)
		account    string
		request    string
		wantReason ticket.Reason
		wantState  ticket.RunState
		executions int
	}{
		"same answer":       {wantState: ticket.Ran, executions: 1},
		"other account":     {account: "rival", wantReason: ticket.ReasonOtherAccount, wantState: ticket.NotRun, executions: 1},
		"different request": {request: "submit batch 8", wantReason: ticket.ReasonDifferentRequest, wantState: ticket.NotRun, executions: 1},
		"refused": {
			first:      func(s *service) ticket.RunFunc { return s.refuse },
			wantReason: ticket.ReasonRefused, wantState: ticket.NotRun,
		},
		"failed after execution": {
			first:      func(s *service) ticket.RunFunc { return s.runAndFail },
			wantReason: ticket.ReasonOutcomeUnknown, executions: 1,
		},
		"panicked": {
			first:      func(s *service) ticket.RunFunc { return s.panicBeforeRun },
			wantReason: ticket.ReasonOutcomeUnknown,
		},
		"answer expired": {
			between:    func(*ticket.Executor) { time.Sleep(2 * time.Minute) },
			wantReason: ticket.ReasonAnswerGone, wantState: ticket.Ran, executions: 1,
		},
		"expired": {
			between:    func(e *ticket.Executor) { time.Sleep(2 * time.Minute); e.Issue("acme", 64) },
			wantReason: ticket.ReasonExpired, executions: 1,
		},
		"other account's tickets don't expire it": {
			between:   func(e *ticket.Executor) { e.Issue("rival", 64) },
			wantState: ticket.Ran, executions: 1,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, s := newExecutor(t, self), &service{}
				tkt := issue(t, e, 1)[0]
				first := s.submit
				if tc.first != nil {
					first = tc.first(s)
				}
				e.Do(t.Context(), tkt, "acme", fingerprint, first)
				if tc.between != nil {
					tc.between(e)
				}
				account, fp := "acme", fingerprint
				if tc.account != "" {
					account = tc.account
				}
				if tc.request != "" {
					fp = ticket.FingerprintOf([]byte(tc.request))
				}
				answer, err := e.Do(t.Context(), tkt, account, fp, s.submit)
				test.Eq(t, tc.wantReason, ticket.ReasonOf(err))
				test.Eq(t, tc.wantState, ticket.StateOf(err))
				test.Eq(t, tc.executions, s.executions())
				if err == nil {
					test.Eq(t, "accepted 1", string(answer))
				}
			})
		})
	}
}

// TestDuplicatesShareOneRun checks that concurrent redemptions wait for one run,
// which continues when the caller that started it disconnects.
func TestDuplicatesShareOneRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, s := newExecutor(t, self), &service{}
		tkt := issue(t, e, 1)[0]
		first, cancelFirst := context.WithTimeout(t.Context(), time.Hour)
		states := make(chan ticket.RunState, 3)
		for _, ctx := range []context.Context{first, t.Context(), t.Context()} {
			go func() {
				_, err := e.Do(ctx, tkt, "acme", fingerprint, s.slow)
				states <- ticket.StateOf(err)
			}()
			synctest.Wait()
		}
		cancelFirst()
		test.Eq(t, ticket.MayHaveRun, <-states)
		test.Eq(t, ticket.Ran, <-states)
		test.Eq(t, ticket.Ran, <-states)
		test.Eq(t, 1, s.executions())
	})
}

// TestAnswersAreBounded checks that the answer cache stays within its byte limit
// and that a large account does not evict the answer of a small one.
func TestAnswersAreBounded(t *testing.T) {
	c := config(self)
	c.MaxAnswersPerAccount, c.MaxAnswerBytes = 4, 2000
	e, err := ticket.New(c)
	must.NoError(t, err)
	small := issue(t, e, 1)[0]
	s := &service{}
	e.Do(t.Context(), small, "acme", fingerprint, s.submit)
	large, err := e.Issue("large", 9)
	must.NoError(t, err)
	cached := 0
	for _, text := range large {
		tkt, _ := ticket.Parse(key, text)
		e.Do(t.Context(), tkt, "large", fingerprint, func(context.Context) (ticket.Answer, error) { return make(ticket.Answer, 600), nil })
	}
	for _, text := range large {
		tkt, _ := ticket.Parse(key, text)
		_, err := e.Do(t.Context(), tkt, "large", fingerprint, s.submit)
		if err == nil {
			cached++
		}
	}
	test.Eq(t, 2, cached)
	_, err = e.Do(t.Context(), small, "acme", fingerprint, s.submit)
	test.NoError(t, err, test.Sprint("a large account evicted the answer of a small account"))
	test.Eq(t, 1, s.executions())
}

// forwarder forwards calls to remote, with optional failures.
type forwarder struct {
	remote *ticket.Executor
	run    ticket.RunFunc
	before error // error returned without sending the call
	after  error // error returned instead of the answer
}

var _ ticket.Forwarder = (*forwarder)(nil)

func (f *forwarder) Forward(ctx context.Context, _ string, call ticket.Call) (ticket.Answer, error) {
	if f.before != nil {
		return nil, f.before
	}
	answer, err := f.remote.Serve(ctx, call, f.run)
	if f.after != nil {
		return nil, f.after
	}
	return answer, err
}

// TestExecutorFaults checks the error of a call whose executor or connection
// fails, and that a later retry never causes a second run.
func TestExecutorFaults(t *testing.T) {
	lost := errors.New("connection reset")
	tests := map[string]struct {
		link           forwarder
		presence       ticket.Presence
		retry          bool
		reason         ticket.Reason
		state          ticket.RunState
		wantExecutions int
		after          ticket.RunState // state of a retry when the executor is reachable again
	}{
		"killed before the call":                    {link: forwarder{before: ticket.ErrNotSent}, reason: ticket.ReasonUnreachable, state: ticket.NotRun, after: ticket.Ran},
		"killed before a retry":                     {link: forwarder{before: ticket.ErrNotSent}, retry: true, reason: ticket.ReasonUnreachable, after: ticket.Ran},
		"killed during the call":                    {link: forwarder{before: lost}, reason: ticket.ReasonAnswerLost, after: ticket.Ran},
		"answer lost after the call":                {link: forwarder{after: lost}, reason: ticket.ReasonAnswerLost, wantExecutions: 1, after: ticket.Ran},
		"paused, considered gone, then reachable":   {presence: ticket.Presence{Status: ticket.Gone}, reason: ticket.ReasonExecutorGone, after: ticket.Ran},
		"no address known":                          {presence: ticket.Presence{Status: ticket.Unknown}, reason: ticket.ReasonUnreachable, state: ticket.NotRun, after: ticket.Ran},
		"answered":                                  {state: ticket.Ran, wantExecutions: 1, after: ticket.Ran},
		"executor restarted as another incarnation": {link: forwarder{remote: newExecutor(t, ticket.Incarnation{Node: "n1", Number: 12})}, reason: ticket.ReasonNotExecutor, after: ticket.Ran},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			e, s := newExecutor(t, self), &service{}
			batch, err := e.Issue("acme", 1)
			must.NoError(t, err)
			link := tc.link
			link.run = s.submit
			if link.remote == nil {
				link.remote = e
			}
			alive := ticket.Presence{Status: ticket.Alive, Addr: "a"}
			current := alive
			if tc.reason == ticket.ReasonExecutorGone || name == "no address known" {
				current = tc.presence
			}
			entry := ticket.Redeemer{
				Executor:  newExecutor(t, peer),
				Lookup:    func(ticket.Incarnation) ticket.Presence { return current },
				Forwarder: &link,
			}
			call := ticket.Call{Ticket: batch[0], Account: "acme", Fingerprint: fingerprint, FirstAttempt: !tc.retry}
			_, err = entry.Redeem(t.Context(), call, s.submit)
			test.Eq(t, tc.reason, ticket.ReasonOf(err))
			test.Eq(t, tc.state, ticket.StateOf(err))
			test.Eq(t, tc.wantExecutions, s.executions())

			current, call.FirstAttempt = alive, false
			link = forwarder{remote: e, run: s.submit}
			_, err = entry.Redeem(t.Context(), call, s.submit)
			test.Eq(t, tc.after, ticket.StateOf(err))
			test.Eq(t, 1, s.executions())
			call.Account = "rival"
			_, err = entry.Redeem(t.Context(), call, s.submit)
			test.Eq(t, ticket.ReasonOtherAccount, ticket.ReasonOf(err))
		})
	}
}
