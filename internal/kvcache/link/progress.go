package link

import "time"

// Progress records bytes that have arrived while the transfer is still running. It
// reduces the queue delay of other transfers and updates the measured speed before
// the transfer ends. The reservation remains for the rest of the bytes, and its
// expiry is extended if necessary. Unknown and expired reservations are ignored.
func (b *Budget) Progress(now time.Time, id uint64, bytes int64) {
	b.withOpen(now, id, func(h *openReservation) {
		bytes = min(bytes, h.Bytes)
		b.used += float64(bytes)
		b.observe(h, bytes, now)
		b.addReserved(h.Kind, -bytes)
		h.Bytes -= bytes
		h.started, h.shared = now, b.shared
		rest := seconds(float64(h.Bytes) / b.rateFor(h.Kind))
		if later := expiry(now, rest, time.Time{}); later.After(h.Expires) {
			h.Expires = later
		}
	})
}

// Progress records on all budgets of the path bytes that have arrived.
func (h PathReservation) Progress(now time.Time, bytes int64) {
	for _, p := range h.reservations {
		p.budget.Progress(now, p.id, bytes)
	}
}
