package ticket

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"
)

// Handover transfers the tickets of a draining executor to one incarnation of a
// peer. It is sent as JSON, to that incarnation only, and may be sent repeatedly.
type Handover struct {
	From    Incarnation    `json:"from"`
	To      Incarnation    `json:"to"`
	Ledgers []LedgerRecord `json:"ledgers"`
}

// LedgerRecord holds the state of the tickets of one incarnation: the sender's
// own, or one that was handed over to the sender earlier.
type LedgerRecord struct {
	Incarnation Incarnation    `json:"executor"`
	Age         time.Duration  `json:"age_ns"` // time since its first handover
	Windows     []WindowRecord `json:"windows"`
}

// WindowRecord holds the state of one account's tickets: two bits for each of the
// last Size serials before Next, and the answers that are still cached.
type WindowRecord struct {
	Account  string           `json:"account"`
	Size     uint64           `json:"size"`
	Next     uint64           `json:"next"`
	Started  []uint64         `json:"began"`
	Finished []uint64         `json:"ended"`
	Answers  []HandoverAnswer `json:"answers,omitempty"`
}

// HandoverAnswer is a cached answer in a Handover.
type HandoverAnswer struct {
	Serial      uint64        `json:"serial"`
	Fingerprint Fingerprint   `json:"fingerprint"`
	Answer      Answer        `json:"answer"`
	Age         time.Duration `json:"age_ns"`
}

// ErrOtherSuccessor is returned by [Executor.Drain] if an earlier call named
// another successor. The earlier successor may have adopted the tickets even if
// its response was lost.
var ErrOtherSuccessor = errors.New("ticket: already handed over to another incarnation")

// Drain permanently stops the executor: once called, no call is started and no
// ticket is issued here. It waits until the running calls have ended or ctx is
// done. A call that is then still running is handed over as may_have_run, but
// callers that wait for it here still get its answer. Drain returns the record
// that the caller must send, repeatedly if needed, until the successor's Adopt
// has succeeded. Repeated calls with the same successor return the same record.
// Drain fails if the successor is this incarnation or differs from the one of an
// earlier call.
func (e *Executor) Drain(ctx context.Context, to Incarnation) (*Handover, error) {
	pending, err := e.stop(to)
	if err != nil {
		return nil, err
	}
	for _, x := range pending {
		select {
		case <-x.done:
		case <-ctx.Done():
		}
	}
	return e.snapshot(to), nil
}

// stop sets the successor, if it is not yet set, and returns the executions that
// are still running.
func (e *Executor) stop(to Incarnation) ([]*execution, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if to == e.config.Self {
		return nil, errors.New("ticket: an executor cannot hand over to itself")
	}
	if e.successor != nil && *e.successor != to {
		return nil, ErrOtherSuccessor
	}
	e.successor = &to
	e.retireExpired()
	var pending []*execution
	for _, l := range e.ledgers {
		for _, a := range l.accounts {
			for _, x := range a.running {
				pending = append(pending, x)
			}
		}
	}
	return pending, nil
}

func (e *Executor) snapshot(to Incarnation) *Handover {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.handover != nil {
		return e.handover
	}
	e.handover = &Handover{From: e.config.Self, To: to}
	for incarnation, l := range e.ledgers {
		record := LedgerRecord{Incarnation: incarnation, Age: l.age()}
		for id, a := range l.accounts {
			record.Windows = append(record.Windows, e.windowRecord(answerKey{incarnation, id}, a))
		}
		e.handover.Ledgers = append(e.handover.Ledgers, record)
	}
	return e.handover
}

func (e *Executor) windowRecord(key answerKey, a *accountState) WindowRecord {
	record := WindowRecord{
		Account:  key.account,
		Size:     a.window.size,
		Next:     a.window.next,
		Started:  slices.Clone(a.window.started.Words()),
		Finished: slices.Clone(a.window.finished.Words()),
	}
	entry := e.answers.byKey[key]
	if entry == nil {
		return record
	}
	e.answers.removeExpired(key, entry)
	for _, serial := range entry.answers.Keys() {
		cached, _ := entry.answers.Peek(serial)
		record.Answers = append(record.Answers, HandoverAnswer{serial, cached.fingerprint, cached.answer, time.Since(cached.storedAt)})
	}
	return record
}

// ErrNotSuccessor is returned by [Executor.Adopt] for a handover to another
// incarnation, such as one that arrives after a restart of this node.
var ErrNotSuccessor = errors.New("ticket: handover names another incarnation")

// Adopt takes over the tickets of the handed-over incarnations. It is idempotent:
// the state of an incarnation whose ledger this executor has or had earlier is
// not replaced. A nil error means that the sender may exit; if the response is
// lost, the sender must send the same record again. Adopt fails if the handover
// is invalid or names another incarnation, and with ErrDraining if this executor
// is draining and has not adopted all of the incarnations before.
func (e *Executor) Adopt(h *Handover) error {
	if h.To != e.config.Self {
		return ErrNotSuccessor
	}
	if err := h.validate(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retireExpired()
	if e.successor != nil && !e.everHadAllLedgers(h) {
		return ErrDraining
	}
	for _, record := range h.Ledgers {
		if !e.everHadLedger(record.Incarnation) {
			e.adopt(record)
		}
	}
	return nil
}

func (e *Executor) everHadLedger(incarnation Incarnation) bool {
	return e.ledgers[incarnation] != nil || e.retired[incarnation]
}

func (e *Executor) everHadAllLedgers(h *Handover) bool {
	return !slices.ContainsFunc(h.Ledgers, func(record LedgerRecord) bool { return !e.everHadLedger(record.Incarnation) })
}

func (e *Executor) adopt(record LedgerRecord) {
	l := &ledger{
		accounts:        make(map[string]*accountState, len(record.Windows)),
		firstHandoverAt: time.Now().Add(-record.Age),
	}
	for _, windowRecord := range record.Windows {
		l.accounts[windowRecord.Account] = newAccount(window{
			size:     windowRecord.Size,
			next:     windowRecord.Next,
			started:  bitset.From(slices.Clone(windowRecord.Started)),
			finished: bitset.From(slices.Clone(windowRecord.Finished)),
		})
		key := answerKey{record.Incarnation, windowRecord.Account}
		for _, answer := range windowRecord.Answers {
			e.answers.put(key, answer.Serial, cachedAnswer{answer.Fingerprint, answer.Answer, time.Now().Add(-answer.Age)})
		}
	}
	e.ledgers[record.Incarnation] = l
}

func (h *Handover) validate() error {
	for _, ledgerRecord := range h.Ledgers {
		for _, windowRecord := range ledgerRecord.Windows {
			words := int(windowRecord.Size/64) + 1
			if windowRecord.Size < 1 || windowRecord.Size > MaxWindow || len(windowRecord.Started) > words || len(windowRecord.Finished) > words {
				return errors.New("ticket: handover contains a window of invalid size")
			}
		}
	}
	return nil
}

// Serving returns the incarnations whose tickets this executor redeems, to be
// published in the member metadata that other nodes use for routing. It returns
// none once the executor is draining.
func (e *Executor) Serving() []Incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retireExpired()
	if e.successor != nil {
		return nil
	}
	serving := make([]Incarnation, 0, len(e.ledgers))
	for incarnation := range e.ledgers {
		serving = append(serving, incarnation)
	}
	return serving
}

// retireExpired stops serving adopted incarnations whose first handover is longer
// ago than Config.AdoptedTTL.
func (e *Executor) retireExpired() {
	for incarnation, l := range e.ledgers {
		if l.age() > e.config.AdoptedTTL && incarnation != e.config.Self {
			delete(e.ledgers, incarnation)
			e.retired[incarnation] = true
			e.answers.removeIncarnation(incarnation)
		}
	}
}

// age returns the time since the ledger's first handover, or zero for the
// executor's own ledger.
func (l *ledger) age() time.Duration {
	if l.firstHandoverAt.IsZero() {
		return 0
	}
	return time.Since(l.firstHandoverAt)
}

func (e *Executor) movedError() *Error {
	err := attemptError(ReasonMoved, NotRun, nil)
	err.Successor = e.successor
	return err
}
