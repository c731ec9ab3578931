package measure

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Sample holds the values of a node's metrics at one time.
type Sample struct {
	At       time.Time
	Sent     float64 // bytes to peers
	Received float64 // bytes from peers
	Calls    float64 // calls to peers
	CPU      float64 // processor seconds
	Resident float64 // bytes of resident memory
	Alive    float64 // number of alive members
	Ready    float64 // 1 if the configuration is up to date
	Owned    float64 // number of owned endpoints
}

// fields returns pointers to the sample's fields by metric name.
func (s *Sample) fields() map[string]*float64 {
	return map[string]*float64{
		"cherryward_peer_sent_bytes_total":     &s.Sent,
		"cherryward_peer_received_bytes_total": &s.Received,
		"cherryward_peer_calls_total":          &s.Calls,
		"process_cpu_seconds_total":            &s.CPU,
		"process_resident_memory_bytes":        &s.Resident,
		`cherryward_members{state="alive"}`:    &s.Alive,
		"cherryward_config_ready":              &s.Ready,
		"cherryward_owned_endpoints":           &s.Owned,
	}
}

// read requests a node's metrics.
func (p *Process) read(ctx context.Context) (Sample, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.callers+"/metrics", nil)
	if err != nil {
		return Sample{}, eris.Wrap(err, "metrics request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Sample{}, eris.Wrap(err, "read metrics")
	}
	defer resp.Body.Close()
	return parse(resp.Body)
}

func parse(body io.Reader) (Sample, error) {
	s := Sample{At: time.Now()}
	fields := s.fields()
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		field := fields[name]
		if field == nil {
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return Sample{}, eris.Wrapf(err, "metric %s", name)
		}
		*field = value
	}
	return s, eris.Wrap(lines.Err(), "read metrics")
}

// Cost is the mean resource usage of a fleet's nodes between two samples of each.
type Cost struct {
	Seconds  float64
	Sent     float64 // bytes for each node
	Received float64
	Calls    float64
	CPU      float64 // processor seconds for each node
	Resident float64 // bytes, in the second sample
	MaxBytes float64 // bytes sent and received by the busiest node
}

func costOf(before, after []Sample) Cost {
	n := float64(len(after))
	var c Cost
	for i, a := range after {
		b := before[i]
		c.Seconds += a.At.Sub(b.At).Seconds() / n
		c.Sent += (a.Sent - b.Sent) / n
		c.Received += (a.Received - b.Received) / n
		c.Calls += (a.Calls - b.Calls) / n
		c.CPU += (a.CPU - b.CPU) / n
		c.Resident += a.Resident / n
		c.MaxBytes = max(c.MaxBytes, a.Sent+a.Received-b.Sent-b.Received)
	}
	return c
}

// rate returns the cost of one second.
func (c Cost) rate() Cost {
	s := c.Seconds
	return Cost{Seconds: 1, Sent: c.Sent / s, Received: c.Received / s, Calls: c.Calls / s, CPU: c.CPU / s, Resident: c.Resident, MaxBytes: c.MaxBytes / s}
}
