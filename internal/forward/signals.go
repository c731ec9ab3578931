package forward

import (
	"net/http"
	"strings"
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
)

// noteSignals learns what the endpoint tells of itself in its answer to a request that was sent at a time.
// A misdirected request may have reached another endpoint, which tells nothing of this one.
func (x *exchange) noteSignals(status int, info *AnswerInfo, m *fleet.Member, sent time.Time) {
	if status == http.StatusMisdirectedRequest || info.Instance != "" && info.Instance != m.ID {
		return
	}
	if headers := strings.Join(info.Unreadable, "; "); headers != "" && m.Signals.Unreadable(headers) {
		x.Log.Warn().Str("event", "answer_unreadable").Str("endpoint", m.ID).Str("id", x.attrs.ID).Str("headers", headers).Send()
	}
	x.noteLimit(status, info, m, sent)
	if info.Draining && x.Fleet.Drain(m, x.Clock.Now()) {
		x.Log.Info().Str("event", "endpoint_draining").Str("endpoint", m.ID).Str("id", x.attrs.ID).Send()
	}
	if refuses(status) && info.RetryAfter > 0 && m.Signals.BackOff(info.RetryAfter, x.Clock.Now()) {
		x.Log.Info().Str("event", "endpoint_backoff").Str("endpoint", m.ID).Str("id", x.attrs.ID).
			Int64("asked_ms", info.RetryAfter.Milliseconds()).Int64("for_ms", min(info.RetryAfter, fleet.MaxBackoff).Milliseconds()).Send()
	}
}

// refuses reports whether an endpoint with an answer of this status turns a request away for want of room.
func refuses(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// noteLimit learns the limit that the endpoint names, or that it names none any more. Only a signed success
// tells the latter: errors and refusals may come from where the endpoint knows nothing of it. A limit
// that could not be read is neither.
func (x *exchange) noteLimit(status int, info *AnswerInfo, m *fleet.Member, sent time.Time) {
	now := x.Clock.Now()
	ends := status < http.StatusMultipleChoices && info.Sealed && !info.LimitUnread
	switch {
	case info.Limited:
		if m.Signals.SetLimit(info.Limit, now) {
			x.Log.Info().Str("event", "endpoint_limited").Str("endpoint", m.ID).Str("id", x.attrs.ID).Float64("per_s", info.Limit).Send()
		}
	case ends && m.Signals.ClearLimit(sent, now):
		x.Log.Info().Str("event", "endpoint_unlimited").Str("endpoint", m.ID).Str("id", x.attrs.ID).Send()
	}
}
