// Package platformlog is a stand-in for the platform's append-only log service.
//
// The offsets of a stream start at 0, increase by one and are never reused. An acknowledged record
// stays readable until retention deletes it by count or age.
package platformlog

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cherryward/cherryward/api/wire/logwire"
	"github.com/cherryward/cherryward/standin/fault"
	"golang.org/x/time/rate"
)

// MaxRecordBytes is the maximum size of a record.
const MaxRecordBytes = 64 << 10

// The codes of logwire.Error.
const (
	codeRate        = "rate"
	codeUnavailable = "unavailable"
	codeTooLarge    = "too_large"
	codeBadRequest  = "bad_request"
)

const (
	defaultReadMax = 1000
	maxBodyBytes   = 2 * MaxRecordBytes // allows for base64 and JSON
)

// Config configures a log service. Zero fields mean no limit.
type Config struct {
	// KeepRecords and KeepFor limit the number and age of the records that a stream retains.
	KeepRecords int
	KeepFor     time.Duration
	// AppendsPerSecond limits the append rate of all streams together; Burst is the burst size,
	// at least 1.
	AppendsPerSecond float64
	Burst            int
}

// Log is the service. It is safe for concurrent use.
type Log struct {
	// Faults holds the active faults.
	Faults  fault.Switch[Faults]
	cfg     Config
	limiter *rate.Limiter
	streams *streams
}

// New returns a log service without streams. Streams are created on first use.
func New(cfg Config) *Log {
	l := &Log{cfg: cfg, limiter: rate.NewLimiter(rate.Inf, 0), streams: newStreams()}
	if cfg.AppendsPerSecond > 0 {
		l.limiter = rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), max(cfg.Burst, 1))
	}
	return l
}

// Close ends all waiting reads. The service must not be used afterwards.
func (l *Log) Close() { l.streams.close() }

// Handler returns a handler for the protocol of logwire and, at fault.Path, the faults.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+logwire.PathStreams+"{stream}/records", l.append)
	mux.HandleFunc("GET "+logwire.PathStreams+"{stream}/records", l.read)
	return l.Faults.Gate(l.outage(mux), fault.Action{Name: "retain", Do: l.retainAction})
}

func (l *Log) outage(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.Faults.Get().Outage {
			writeError(w, http.StatusServiceUnavailable, codeUnavailable, "the service is unavailable")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	var req logwire.AppendRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge), len(req.Data) > MaxRecordBytes:
		writeError(w, http.StatusRequestEntityTooLarge, codeTooLarge, "record exceeds 64 KiB")
		return
	case err != nil:
		writeError(w, http.StatusBadRequest, codeBadRequest, err.Error())
		return
	}
	if !l.limiter.Allow() {
		writeError(w, http.StatusTooManyRequests, codeRate, "append rate limit exceeded")
		return
	}
	s := l.streams.get(r.PathValue("stream"))
	offset := s.append(req.Data, time.Now(), l.cfg)
	if l.Faults.Get().losesResponse(offset) {
		fault.Drop()
	}
	fault.WriteJSON(w, http.StatusOK, logwire.AppendResponse{Offset: offset})
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	from, err1 := queryInt(r, "from", 0)
	limit, err2 := queryInt(r, "max", defaultReadMax)
	wait, err3 := queryInt(r, "wait_ms", 0)
	if err := errors.Join(err1, err2, err3); err != nil {
		writeError(w, http.StatusBadRequest, codeBadRequest, err.Error())
		return
	}
	s := l.streams.get(r.PathValue("stream"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		faultChanged := l.Faults.Changed()
		v := s.read(from, int(limit), l.Faults.Get().readLag(), l.cfg)
		left := time.Until(deadline)
		if len(v.answer.Records) > 0 || left <= 0 || l.streams.closed.Err() != nil {
			fault.WriteJSON(w, http.StatusOK, v.answer)
			return
		}
		if v.visibleIn > 0 {
			left = min(left, v.visibleIn)
		}
		timer := time.NewTimer(left)
		select {
		case <-v.changed:
		case <-timer.C:
		case <-faultChanged:
			l.interrupt(r)
		case <-l.streams.closed.Done():
		case <-r.Context().Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// interrupt applies a change of the faults to a waiting read.
func (l *Log) interrupt(r *http.Request) {
	if f := l.Faults.Get(); f.Outage || !l.Faults.Wait(r.Context().Done()) {
		fault.Drop()
	}
}

func queryInt(r *http.Request, name string, def int64) (int64, error) {
	v := r.URL.Query().Get(name)
	if v == "" {
		return def, nil
	}
	return strconv.ParseInt(v, 10, 64)
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	fault.WriteJSON(w, status, logwire.Error{Code: code, Message: message})
}
