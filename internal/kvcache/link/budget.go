// Package link divides the bandwidth of store hosts, and of the links to them, among
// the transfers of engines.
//
// Guarantee: exports never delay or prevent the admission of an import, because a
// caller waits for it. An import that would end after its deadline is rejected
// immediately, so that its prompt is recomputed. Budgets do not transfer data themselves: each
// reservation states the rate limit that the transfer request must contain.
// Reservations expire, so a lost response cannot block a link permanently. Losing a
// budget's state only reduces efficiency.
package link

import (
	"errors"
	"math"
	"sync"
	"time"
)

// Kind is the direction of a transfer, which determines its priority.
type Kind uint8

// The kinds of transfer.
const (
	Import Kind = iota // a caller waits for it
	Export             // runs in the background
)

// Errors of Reserve. The caller should not retry the transfer immediately.
var (
	ErrTooSlow = errors.New("link: transfer would end after its deadline")
	ErrBusy    = errors.New("link: no bandwidth available for an export")
)

const (
	// exportShare is the maximum share of the bandwidth for exports while imports are
	// in flight.
	exportShare = 0.25
	// exportBacklog is the expected time to finish all exports in flight beyond which no
	// further export is admitted. If no export is in flight, one of any size is admitted
	// unless the expected time to finish all imports is at least exportBacklog.
	exportBacklog = 2 * time.Second
	// expirySlack and expiryFactor extend a reservation beyond its expected end.
	expirySlack  = 2 * time.Second
	expiryFactor = 3

	speedWeight         = 0.3 // weight of one observation in the measured speed
	cappedShare         = 0.8 // above this share of its rate limit, a transfer gives only a lower bound of the speed
	utilizationHalfLife = 30 * time.Second
	maxUtilization      = 0.95
	minSpeedBytes       = 1 << 16 // smaller transfers are ignored in the speed measurement

	// A speed that was last measured more than speedFresh ago returns gradually to
	// the limit, so that a link that was once slow is tried again.
	speedFresh    = 30 * time.Second
	speedHalfLife = 60 * time.Second
)

// Reservation is bandwidth reserved for one transfer on one budget.
type Reservation struct {
	ID               uint64
	Kind             Kind
	Bytes            int64
	BytesPerSecond   int64         // rate limit to set in the transfer request
	ExpectedDuration time.Duration // from the reservation to the transfer's end
	Expires          time.Time
}

// transfer is a transfer in flight with its reservation.
type transfer struct {
	Reservation
	started         time.Time
	transferSeconds float64 // Budget.transferSeconds when the transfer started
}

// Budget is the bandwidth of one store host or one link. Safe for concurrent
// use.
type Budget struct {
	mu                sync.Mutex
	limit             float64 // maximum bytes per second
	speed             float64 // measured, bytes per second
	speedAt           time.Time
	lastID            uint64
	inFlight          map[uint64]*transfer
	imports           int64     // bytes reserved for imports
	exports           int64     // bytes reserved for exports
	transferSeconds   float64   // integral of the number of transfers in flight, seconds
	transferSecondsAt time.Time // time of the last update of transferSeconds
	used              float64   // decayed sum of bytes transferred
	usedAt            time.Time
}

// NewBudget returns a budget with the given limit in bytes per second. If the
// measured speed is lower, it is used instead.
func NewBudget(bytesPerSecond int64) *Budget {
	limit := float64(max(bytesPerSecond, 1))
	return &Budget{limit: limit, speed: limit, inFlight: make(map[uint64]*transfer)}
}

// Reserve reserves bandwidth for a transfer. A zero deadline means no deadline. It
// returns ErrTooSlow or ErrBusy if the transfer is not admitted. Each reservation is
// ended by Done, Cancel or Abort, or expires.
func (b *Budget) Reserve(now time.Time, kind Kind, bytes int64, deadline time.Time) (Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if kind == Export && !b.exportFits(bytes) {
		return Reservation{}, ErrBusy
	}
	duration := b.queueDelay(kind) + seconds(float64(bytes)/b.rateFor(kind))
	if !deadline.IsZero() && now.Add(duration).After(deadline) {
		return Reservation{}, ErrTooSlow
	}
	b.lastID++
	r := Reservation{
		ID: b.lastID, Kind: kind, Bytes: bytes, ExpectedDuration: duration,
		BytesPerSecond: max(1, int64(b.rateLimit(kind))),
		Expires:        expiry(now, duration, deadline),
	}
	b.inFlight[r.ID] = &transfer{Reservation: r, started: now, transferSeconds: b.transferSeconds}
	b.addReserved(kind, bytes)
	return r, nil
}

// expiry returns the time after which a transfer without a reported end is assumed
// to have ended: shortly after its deadline, by which its request has been canceled,
// or else well after its expected end.
func expiry(now time.Time, duration time.Duration, deadline time.Time) time.Time {
	if !deadline.IsZero() {
		return deadline.Add(expirySlack)
	}
	return now.Add(expiryFactor*duration + expirySlack)
}

// Done ends a transfer after the given number of bytes and updates the measured
// speed. Unknown and expired reservations are ignored.
func (b *Budget) Done(now time.Time, id uint64, bytes int64) {
	b.withTransfer(now, id, func(r *transfer) {
		b.release(r)
		b.used += float64(bytes)
		b.observe(r, bytes, now)
	})
}

// Cancel releases an unused reservation, for example because the transfer request
// was rejected or is no longer needed. It is idempotent.
func (b *Budget) Cancel(now time.Time, id uint64) {
	b.withTransfer(now, id, b.release)
}

// Abort ends a transfer that exceeded its deadline. If the transfer has already
// taken longer than expected, Abort lowers the measured speed.
func (b *Budget) Abort(now time.Time, id uint64) {
	b.withTransfer(now, id, func(r *transfer) {
		b.release(r)
		if now.Sub(r.started) > r.ExpectedDuration {
			b.observe(r, r.Bytes, now)
		}
	})
}

// withTransfer calls f with the transfer unless its reservation is unknown or expired.
func (b *Budget) withTransfer(now time.Time, id uint64, f func(*transfer)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if r, ok := b.inFlight[id]; ok {
		f(r)
	}
}

// BytesPerSecond returns the current expected speed of one more transfer of the
// kind.
func (b *Budget) BytesPerSecond(now time.Time, kind Kind) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.rateFor(kind)
}

// QueueDelay returns the expected time to finish the transfers ahead of a new one.
func (b *Budget) QueueDelay(now time.Time, kind Kind) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.queueDelay(kind)
}

// Price returns the current cost of a byte in seconds: its transfer time, increased
// by the link's utilization and export backlog.
func (b *Budget) Price(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	meanSpeed := b.used * math.Ln2 / utilizationHalfLife.Seconds()
	utilization := min(maxUtilization, meanSpeed/b.rate())
	wait := b.queueDelay(Export).Seconds()
	return (1 + wait) / (b.rate() * (1 - utilization))
}

func (b *Budget) rate() float64 { return min(b.limit, b.speed) }

func (b *Budget) rateFor(kind Kind) float64 {
	if kind == Export && b.imports > 0 {
		return b.rate() * exportShare
	}
	return b.rate()
}

// rateLimit returns the rate limit for a transfer request. It may exceed the measured
// speed so that a transfer can show that the link has become faster.
func (b *Budget) rateLimit(kind Kind) float64 {
	if kind == Export && b.imports > 0 {
		return b.rateFor(kind)
	}
	return b.limit
}

func (b *Budget) exportFits(bytes int64) bool {
	if b.exports == 0 {
		return b.imports == 0 || b.queueDelay(Import) < exportBacklog
	}
	return seconds(float64(b.exports+bytes)/b.rateFor(Export)) <= exportBacklog
}

func (b *Budget) queueDelay(kind Kind) time.Duration {
	ahead := b.imports
	if kind == Export {
		ahead += b.exports
	}
	return seconds(float64(ahead) / b.rate())
}

func (b *Budget) addReserved(kind Kind, bytes int64) {
	if kind == Import {
		b.imports += bytes
		return
	}
	b.exports += bytes
}

func (b *Budget) release(r *transfer) {
	delete(b.inFlight, r.ID)
	b.addReserved(r.Kind, -r.Bytes)
}

// observe updates the measured speed with the combined speed of all transfers while
// r was in flight. A transfer that reached its own rate limit gives only a lower bound
// of the link's speed, so it cannot reduce the measured speed.
func (b *Budget) observe(r *transfer, bytes int64, now time.Time) {
	took := now.Sub(r.started).Seconds()
	if bytes < minSpeedBytes || took <= 0 {
		return
	}
	own := float64(bytes) / took
	total := own * max(1, (b.transferSeconds-r.transferSeconds)/took)
	if own >= cappedShare*float64(r.BytesPerSecond) && total < b.speed {
		return
	}
	b.speed += speedWeight * (total - b.speed)
	b.speedAt = now
}

// advance updates the decayed values to now and releases expired reservations.
func (b *Budget) advance(now time.Time) {
	if b.transferSecondsAt.IsZero() {
		b.transferSecondsAt, b.usedAt, b.speedAt = now, now, now
	}
	if passed := now.Sub(b.transferSecondsAt).Seconds(); passed > 0 {
		b.transferSeconds += passed * float64(len(b.inFlight))
		b.transferSecondsAt = now
	}
	if passed := now.Sub(b.usedAt); passed > 0 {
		b.used *= math.Exp2(-passed.Seconds() / utilizationHalfLife.Seconds())
		b.usedAt = now
	}
	if stale := now.Sub(b.speedAt) - speedFresh; stale > 0 {
		b.speed = b.limit - (b.limit-b.speed)*math.Exp2(-stale.Seconds()/speedHalfLife.Seconds())
		b.speedAt = now.Add(-speedFresh)
	}
	for _, r := range b.inFlight {
		if now.After(r.Expires) {
			b.release(r)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
