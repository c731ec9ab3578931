package engine

import (
	"sync"
	"time"
)

// Defaults of WeightConfig.
const (
	DefaultLoadTime = 1200 * time.Millisecond
	DefaultParallel = 2
)

// WeightConfig configures a weight store. Zero fields other than TimeScale take the defaults above.
type WeightConfig struct {
	// LoadTime is the duration of a load while at most Parallel loads run.
	LoadTime time.Duration
	// Parallel is the number of loads that run at full speed. More loads share that rate.
	Parallel int
	// TimeScale multiplies LoadTime; 0 loads immediately.
	TimeScale float64
}

// WeightStore is a rate-limited store of weights that several engines can share.
type WeightStore struct {
	cfg     WeightConfig
	mu      sync.Mutex
	active  int
	changed chan struct{} // closed when active changes
}

// NewWeightStore returns a store without active loads.
func NewWeightStore(cfg WeightConfig) *WeightStore {
	setDefault(&cfg.LoadTime, DefaultLoadTime)
	setDefault(&cfg.Parallel, DefaultParallel)
	return &WeightStore{cfg: cfg, changed: make(chan struct{})}
}

// load waits for the duration of a load. It returns false if one of the channels is closed
// before.
func (w *WeightStore) load(cancelled, terminated <-chan struct{}) bool {
	w.join(1)
	defer w.join(-1)
	left := float64(w.cfg.LoadTime) * w.cfg.TimeScale
	for left >= 1 {
		speed, changed := w.speed()
		began := time.Now()
		if !waitAny(time.Duration(left/speed), changed, cancelled, terminated) {
			return false
		}
		left -= float64(time.Since(began)) * speed
	}
	return true
}

func (w *WeightStore) join(by int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active += by
	close(w.changed)
	w.changed = make(chan struct{})
}

// speed returns a load's share of the full speed, which is valid until changed is closed.
func (w *WeightStore) speed() (float64, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return min(1, float64(w.cfg.Parallel)/float64(w.active)), w.changed
}

// waitAny waits until d has elapsed or changed is closed. It returns false if cancelled or
// terminated is closed.
func waitAny(d time.Duration, changed, cancelled, terminated <-chan struct{}) bool {
	timer := time.NewTimer(d + 1)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-changed:
		return true
	case <-cancelled:
		return false
	case <-terminated:
		return false
	}
}
