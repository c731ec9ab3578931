package link

import "time"

// Progress records bytes that have arrived while the transfer is still running. It
// reduces the queue delay of other transfers and updates the measured speed before
// the transfer ends. The reservation remains for the rest of the bytes, and its
// expiry is extended if necessary. Unknown and expired reservations are ignored.
func (b *Budget) Progress(now time.Time, id uint64, bytes int64) {
	b.withTransfer(now, id, func(r *transfer) {
		bytes = min(bytes, r.Bytes)
		b.used += float64(bytes)
		b.observe(r, bytes, now)
		b.addReserved(r.Kind, -bytes)
		r.Bytes -= bytes
		r.started, r.transferSeconds = now, b.transferSeconds
		rest := seconds(float64(r.Bytes) / b.rateFor(r.Kind))
		if later := expiry(now, rest, time.Time{}); later.After(r.Expires) {
			r.Expires = later
		}
	})
}

// Progress records on all budgets of the path bytes that have arrived.
func (r PathReservation) Progress(now time.Time, bytes int64) {
	for _, p := range r.reservations {
		p.budget.Progress(now, p.id, bytes)
	}
}
