package forward

import (
	"net/http"
	"strings"
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
)

// recordSignals records what the endpoint states about itself in its answer; sent is the time at
// which the request was sent. A misdirected request may have reached another endpoint, so its
// answer is ignored.
func (x *exchange) recordSignals(status int, info *AnswerInfo, m *fleet.Member, sent time.Time) {
	if status == http.StatusMisdirectedRequest || info.Instance != "" && info.Instance != m.ID {
		return
	}
	if headers := strings.Join(info.Unreadable, "; "); headers != "" && m.Signals.Unreadable(headers) {
		x.Log.Warn().Str("event", "answer_unreadable").Str("endpoint", m.ID).Str("id", logged(x.attrs.ID)).Str("headers", headers).Send()
	}
	x.recordLimit(status, info, m, sent)
	x.recordBrittle(status, info, m)
	if info.Draining && x.Fleet.MarkDraining(m, x.Clock.Now()) {
		x.Log.Info().Str("event", "endpoint_draining").Str("endpoint", m.ID).Str("id", logged(x.attrs.ID)).Send()
	}
	if isRefusal(status) && info.RetryAfter > 0 && m.Signals.RecordBackoff(info.RetryAfter, x.Clock.Now()) {
		x.Log.Info().Str("event", "endpoint_backoff").Str("endpoint", m.ID).Str("id", logged(x.attrs.ID)).
			Int64("asked_ms", info.RetryAfter.Milliseconds()).Int64("for_ms", min(info.RetryAfter, fleet.MaxBackoff).Milliseconds()).Send()
	}
}

// isRefusal reports whether a status means that an endpoint refused a request for lack of capacity.
func isRefusal(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// recordBrittle records that the endpoint states that it is brittle, which holds for all endpoints of its service.
func (x *exchange) recordBrittle(status int, info *AnswerInfo, m *fleet.Member) {
	if !info.Brittle || x.Brittle == nil {
		return
	}
	if info.NotRun && isRefusal(status) {
		x.logBrittleRefusal(m, info)
	}
	if x.Brittle.Record(m.Service, info.MaxRefusals) {
		x.Log.Info().Str("event", "service_brittle").Str("service", m.Service).Str("endpoint", m.ID).Str("id", logged(x.attrs.ID)).Int("refusals", info.MaxRefusals).Send()
	}
}

// logBrittleRefusal logs what this node knew of a brittle endpoint that refused a request for want of room:
// whether it had borrowed a slot, and the requests there.
func (x *exchange) logBrittleRefusal(m *fleet.Member, info *AnswerInfo) {
	event := x.Log.Warn().Str("event", "brittle_refusal").Str("endpoint", m.ID).Str("id", logged(x.attrs.ID)).Int("refusals", info.MaxRefusals).
		Int("own", m.Load.Running()).Int("slots", m.Endpoint().Slots)
	if p := x.placement; p != nil {
		event = event.Bool("borrowed", p.Slot != nil).Int("running", p.SlotState.Running).Int("held", p.OccupiedTokens).Int64("load_age_ms", p.LoadAge.Milliseconds())
	}
	event.Send()
}

// recordLimit records the rate limit that the endpoint states, or that it no longer states one.
// Only a signed success shows the latter: errors and refusals may come from a component that does
// not know the limit. An unreadable limit leaves the recorded one unchanged.
func (x *exchange) recordLimit(status int, info *AnswerInfo, m *fleet.Member, sent time.Time) {
	now := x.Clock.Now()
	limitRemoved := status < http.StatusMultipleChoices && info.Signed && !info.LimitUnreadable
	switch {
	case info.HasLimit:
		if m.Signals.SetLimit(info.Limit, now) {
			x.Log.Info().Str("event", "endpoint_limited").Str("endpoint", m.ID).Str("id", logged(x.attrs.ID)).Float64("per_s", info.Limit).Send()
		}
	case limitRemoved && m.Signals.ClearLimit(sent):
		x.Log.Info().Str("event", "endpoint_unlimited").Str("endpoint", m.ID).Str("id", logged(x.attrs.ID)).Send()
	}
}
