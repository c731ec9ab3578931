package ticket

import (
	"errors"
	"fmt"
)

// Issuer issues tickets in batches.
type Issuer interface {
	Issue(accountID string, n int) ([]string, error)
}

var _ Issuer = (*Executor)(nil)

// ErrDraining is returned by a draining executor for requests for new tickets and
// for handovers to it.
var ErrDraining = errors.New("ticket: executor is draining")

// Issue returns n new encoded tickets for the account. It fails if n is not
// between 1 and Config.Window, if the account ID is empty or too long, and with
// ErrDraining if the executor is draining. The account's oldest tickets expire as
// they leave the window; those of other accounts are not affected.
func (e *Executor) Issue(accountID string, n int) ([]string, error) {
	if accountID == "" || len(accountID) > MaxNameBytes {
		return nil, errors.New("ticket: account ID is empty or too long")
	}
	if n < 1 || n > e.config.Window {
		return nil, fmt.Errorf("ticket: batch size is not between 1 and %d", e.config.Window)
	}
	first, err := e.reserveSerials(accountID, n)
	if err != nil {
		return nil, err
	}
	batch := make([]string, n)
	for i := range batch {
		t := Ticket{Incarnation: e.config.Self, Serial: first + uint64(i), Account: accountID}
		batch[i] = t.Encode(e.config.Key)
	}
	return batch, nil
}

// reserveSerials reserves n consecutive serials of the account and returns the
// first.
func (e *Executor) reserveSerials(accountID string, n int) (uint64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.successor != nil {
		return 0, ErrDraining
	}
	own := e.ledgers[e.config.Self]
	a := own.accounts[accountID]
	if a == nil {
		a = newAccount(newWindow(uint64(e.config.Window)))
		own.accounts[accountID] = a
	}
	first := a.window.next
	for range n {
		a.window.issue()
	}
	return first, nil
}

func newAccount(w window) *accountState {
	return &accountState{window: w, running: make(map[uint64]*execution)}
}
