package limit

import "time"

// Incarnation identifies one start of a node's process. Number is a random
// number chosen at each start.
type Incarnation struct {
	Node   NodeID `json:"n"`
	Number uint64 `json:"i"`
}

// Millis is a duration in milliseconds, as encoded in messages.
type Millis int64

func millis(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// LeaseRequest is a borrower's request to borrow from the pools of accounts that the
// lender's node owns. It is sent once: a lender ignores duplicates, and the
// borrower replaces a lost request by a new one with a higher Seq.
type LeaseRequest struct {
	From Incarnation `json:"f"`
	Seq  uint64      `json:"s"`
	Asks []Ask       `json:"a"`
}

// Ask is the entry of a LeaseRequest for one account.
type Ask struct {
	Account string `json:"a"`
	// Amount is the amount requested for one lease, in addition to what the
	// node still has.
	Amount Amount `json:"w,omitzero"`
	// MinAmount is the smallest useful amount. If the lender has less, it lends
	// nothing.
	MinAmount Amount `json:"l,omitzero"`
	// Debt is the amount that was used but is not yet deducted from a share or
	// loan: the portion of each cost beyond the maximum charge, and corrections.
	Debt Amount `json:"o,omitzero"`
	// Refund is the amount that was charged but not used.
	Refund Amount `json:"b,omitzero"`
	// Runs is the total number of run slots requested beyond the static ones.
	Runs int `json:"r,omitempty"`
}

// LeaseGrant is a lender's answer to a LeaseRequest.
type LeaseGrant struct {
	Seq   uint64 `json:"s"`
	Loans []Loan `json:"l"`
}

// Loan is what the lender lends of one account. Amount may be used until one
// Settings.Lease after the borrower sent the request.
type Loan struct {
	Account string `json:"a"`
	Amount  Amount `json:"m,omitzero"`
	// Runs replaces the number of run slots lent before. They are valid until
	// one Settings.RunLease after the borrower sent the request.
	Runs int `json:"r,omitempty"`
	// Wait is the time after which to send the next request, if Amount or Runs
	// is less than requested.
	Wait Millis `json:"w,omitempty"`
}

// PartRequest is a lender's request to a keeper to lease, renew or release the
// keeper's parts of accounts.
type PartRequest struct {
	From Incarnation `json:"f"`
	Seq  uint64      `json:"s"`
	// Acquire lists the accounts whose part of the rates is requested.
	Acquire []string `json:"a,omitempty"`
	// AcquireRuns lists the accounts whose part of the run slots is requested.
	AcquireRuns []string `json:"q,omitempty"`
	// Release lists the accounts whose parts, of both kinds, are released.
	Release []string `json:"r,omitempty"`
}

// PartGrant is a keeper's answer to a PartRequest. It lists the parts that were
// leased or renewed, until one Settings.PartLease or Settings.RunPartLease
// after the lender sent the request.
type PartGrant struct {
	From NodeID `json:"f"`
	Seq  uint64 `json:"s"`
	// Parts are the leased parts of the rates.
	Parts []Part `json:"p,omitempty"`
	// RunParts are the accounts whose part of the run slots was leased.
	RunParts []string `json:"q,omitempty"`
}

// Part is one leased part of an account's rates.
type Part struct {
	Account string `json:"a"`
	// Idle is how long the part was not leased, up to Settings.Burst. It is
	// zero on a renewal.
	Idle Millis `json:"i,omitempty"`
}

// LeaseCall is a LeaseRequest to send to the lender of node To.
type LeaseCall struct {
	To      NodeID
	Request LeaseRequest
}

// PartCall is a PartRequest to send to the keeper of node To.
type PartCall struct {
	To      NodeID
	Request PartRequest
}
