package link

import "time"

// Path is the list of budgets that a transfer uses: that of its store host and those
// of the links in between. The slowest one determines the speed.
type Path []*Budget

// PathReservation is bandwidth reserved for one transfer on every budget of a path.
type PathReservation struct {
	Kind             Kind
	Bytes            int64
	BytesPerSecond   int64         // rate limit to set in the transfer request
	ExpectedDuration time.Duration // from the reservation to the transfer's end
	Expires          time.Time     // earliest expiry of its reservations

	reservations []budgetReservation
}

type budgetReservation struct {
	budget *Budget
	id     uint64
}

// Estimate is the expected speed of a transfer and the delay before it starts, used
// by placement to score an import.
type Estimate struct {
	BytesPerSecond float64
	QueueDelay     time.Duration
}

// Reserve reserves bandwidth for the transfer on all budgets or on none. It returns
// the errors of Budget.Reserve. An empty path has no limit.
func (p Path) Reserve(now time.Time, kind Kind, bytes int64, deadline time.Time) (PathReservation, error) {
	reservation := PathReservation{Kind: kind, Bytes: bytes}
	for _, budget := range p {
		r, err := budget.Reserve(now, kind, bytes, deadline)
		if err != nil {
			reservation.Cancel(now)
			return PathReservation{}, err
		}
		reservation.add(budget, r)
	}
	return reservation, nil
}

func (r *PathReservation) add(budget *Budget, reserved Reservation) {
	first := len(r.reservations) == 0
	r.reservations = append(r.reservations, budgetReservation{budget: budget, id: reserved.ID})
	r.ExpectedDuration = max(r.ExpectedDuration, reserved.ExpectedDuration)
	if first || reserved.BytesPerSecond < r.BytesPerSecond {
		r.BytesPerSecond = reserved.BytesPerSecond
	}
	if first || reserved.Expires.Before(r.Expires) {
		r.Expires = reserved.Expires
	}
}

// Done ends the transfer on all budgets after the given number of bytes.
func (r PathReservation) Done(now time.Time, bytes int64) {
	for _, p := range r.reservations {
		p.budget.Done(now, p.id, bytes)
	}
}

// Cancel releases the bandwidth on all budgets. It is idempotent.
func (r PathReservation) Cancel(now time.Time) {
	for _, p := range r.reservations {
		p.budget.Cancel(now, p.id)
	}
}

// Abort ends a transfer that exceeded its deadline.
func (r PathReservation) Abort(now time.Time) {
	for _, p := range r.reservations {
		p.budget.Abort(now, p.id)
	}
}

// Estimate returns the path's current speed and delay for one more transfer.
func (p Path) Estimate(now time.Time, kind Kind) Estimate {
	var e Estimate
	for i, budget := range p {
		speed := budget.BytesPerSecond(now, kind)
		if i == 0 || speed < e.BytesPerSecond {
			e.BytesPerSecond = speed
		}
		e.QueueDelay = max(e.QueueDelay, budget.QueueDelay(now, kind))
	}
	return e
}

// Price returns the current cost of a byte in seconds: the highest price of the
// path's budgets.
func (p Path) Price(now time.Time) float64 {
	price := 0.0
	for _, budget := range p {
		price = max(price, budget.Price(now))
	}
	return price
}
