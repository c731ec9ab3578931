package forward

import (
	"net/http"
	"time"

	"github.com/cherryward/cherryward/internal/fleet"
)

// noteWord learns what the endpoint says of itself in its answer to a request that was sent at a time.
// A misdirected request may have reached another endpoint, whose word says nothing of this one.
func (x *exchange) noteWord(status int, info *AnswerInfo, m *fleet.Member, sent time.Time) {
	if status == http.StatusMisdirectedRequest || info.Instance != "" && info.Instance != m.ID {
		return
	}
	for _, word := range info.Unreadable {
		if m.Word.Unreadable(word) {
			x.Log.Warn().Str("event", "answer_unreadable").Str("endpoint", m.ID).Str("id", x.attrs.ID).Str("header", word).Send()
		}
	}
	x.noteLimit(status, info, m, sent)
	if info.Leaving && x.Fleet.Leaves(m, x.Clock.Now()) {
		x.Log.Info().Str("event", "endpoint_leaving").Str("endpoint", m.ID).Str("id", x.attrs.ID).Send()
	}
	if refuses(status) && info.Rest > 0 && m.Word.Rests(info.Rest, x.Clock.Now()) {
		x.Log.Info().Str("event", "endpoint_resting").Str("endpoint", m.ID).Str("id", x.attrs.ID).
			Int64("asked_ms", info.Rest.Milliseconds()).Int64("for_ms", min(info.Rest, fleet.MostRest).Milliseconds()).Send()
	}
}

// refuses reports whether an endpoint with an answer of this status turns a request away for want of room.
func refuses(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// noteLimit learns the limit that the endpoint names, or that it names none any more. Only a signed success
// tells the latter: errors and refusals may come from where the endpoint knows nothing of it. A word that
// could not be read is neither.
func (x *exchange) noteLimit(status int, info *AnswerInfo, m *fleet.Member, sent time.Time) {
	now := x.Clock.Now()
	ends := status < http.StatusMultipleChoices && info.Sealed && !info.LimitUnread
	switch {
	case info.Limited:
		if m.Word.NamesLimit(info.Limit, now) {
			x.Log.Info().Str("event", "endpoint_limited").Str("endpoint", m.ID).Str("id", x.attrs.ID).Float64("per_s", info.Limit).Send()
		}
	case ends && m.Word.NamesNoLimit(sent, now):
		x.Log.Info().Str("event", "endpoint_unlimited").Str("endpoint", m.ID).Str("id", x.attrs.ID).Send()
	}
}
