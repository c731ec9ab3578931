package canary

import (
	"math"
	"time"
)

const (
	// durationBuckets is the number of buckets of durations. Each is wider than the one before by
	// bucketsPerDoubling-th root of 2, from shortestDuration on: the last one begins at 28 s.
	durationBuckets    = 24
	bucketsPerDoubling = 2
	shortestDuration   = 10 * time.Millisecond
)

// Counts counts the answers of endpoints of one release on one route.
type Counts struct {
	Answers   int                  `json:"n"`
	Bad       int                  `json:"bad,omitempty"` // failures among them
	Durations [durationBuckets]int `json:"d"`             // of the good ones
}

// add counts an answer.
func (c *Counts) add(bad bool, took time.Duration) {
	c.Answers++
	if bad {
		c.Bad++
		return
	}
	c.Durations[bucketOf(took)]++
}

// sum adds other counts.
func (c *Counts) sum(other *Counts) {
	c.Answers += other.Answers
	c.Bad += other.Bad
	for i, n := range other.Durations {
		c.Durations[i] += n
	}
}

// valid reports whether counts from another node are consistent.
func (c *Counts) valid() bool {
	sum := c.Bad
	for _, n := range c.Durations {
		if n < 0 || n > maxAnswers {
			return false
		}
		sum += n
	}
	return c.Bad >= 0 && c.Answers == sum && sum <= maxAnswers
}

// maxAnswers bounds the answers that one node can have counted.
const maxAnswers = 1 << 32

func bucketOf(took time.Duration) int {
	if took <= shortestDuration {
		return 0
	}
	doublings := math.Log2(float64(took) / float64(shortestDuration))
	return min(int(doublings*bucketsPerDoubling), durationBuckets-1)
}

// medianBucket returns the bucket of the median duration, and false if there is none.
func (c *Counts) medianBucket() (int, bool) {
	total := c.Answers - c.Bad
	rest := (total + 1) / 2
	for i, n := range c.Durations {
		if rest -= n; rest <= 0 && total > 0 {
			return i, true
		}
	}
	return 0, false
}

// slowerThan returns the number of durations in buckets after the given one.
func (c *Counts) slowerThan(bucket int) int {
	slow := 0
	for _, n := range c.Durations[min(bucket+1, durationBuckets):] {
		slow += n
	}
	return slow
}
