package forward

import "github.com/cherryward/cherryward/internal/result"

// logRequest logs the decisions about a request, in one line when it ends.
func (x *exchange) logRequest(err *result.Error) {
	event := x.Log.Info().Str("event", "request").Str("id", logged(x.attrs.ID)).
		Int("status", x.outcome.Status).Int("code", int(x.outcome.Code)).
		Int("attempts", x.outcome.Attempts).
		Int64("config_age_ms", x.configAge.Milliseconds())
	if x.config != nil {
		event = event.Int64("config", x.config.Version)
	}
	if x.route != nil {
		event = event.Str("route", x.route.Name).Str("account", x.outcome.Account)
	}
	if x.placement != nil {
		event = x.placement.log(event, x.Clock)
	}
	if policy := x.residency(); policy.Confined() {
		event = event.Strs("regions", policy.Regions())
	}
	if x.passed != nil {
		event = event.Str("passed_by", x.passed.From)
	}
	if x.helper != "" {
		event = event.Str("helper", x.helper)
	}
	if x.age > 0 {
		event = event.Int64("age_ms", x.age.Milliseconds())
	}
	if x.attrs.Resumes != "" {
		event = event.Str("resumes", logged(x.attrs.Resumes))
	}
	if x.found != nil {
		event = event.Stringer("origin", x.found.Source).Int("asked", x.found.Asked).Int("answered", x.found.Answered).
			Int64("origin_ms", x.found.Took.Milliseconds()).AnErr("origin_error", x.found.Err)
	}
	if x.release != "" {
		event = event.Str("began_at", x.release)
	}
	if x.attrs.ResumeAfter != "" {
		event = event.Str("resumed_after", logged(x.attrs.ResumeAfter))
	}
	if parts := x.attrs.Parts; len(parts) > 1 {
		event = event.Str("session", logged(parts[len(parts)-2].ID)).Int("session_tokens", parts[len(parts)-2].Tokens)
	}
	if x.heldPart != "" {
		event = event.Str("held_part", logged(x.heldPart))
	}
	if x.cachedFingerprint != nil {
		event = event.Stringer("fingerprint", x.cachedFingerprint)
	}
	if x.cause != nil {
		event = event.Str("cause", x.cause.Error())
	}
	if err != nil {
		event = event.Str("outcome", err.Code.String())
	}
	if pause := x.outcome.LongestPause; pause > 0 {
		event = event.Int64("longest_pause_ms", pause.Milliseconds())
	}
	event.Int64("first_ms", x.outcome.TimeToFirstByte.Milliseconds()).Int64("total_ms", x.outcome.Total.Milliseconds()).Send()
}

// maxLoggedBytes bounds what a log line holds of a text that a caller chose.
const maxLoggedBytes = 128

// logged returns a text of a caller as it is logged.
func logged(text string) string {
	if len(text) <= maxLoggedBytes {
		return text
	}
	return text[:maxLoggedBytes] + "..."
}
