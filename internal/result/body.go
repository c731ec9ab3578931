package result

import "time"

// Body is an error as it is sent to callers, in the OpenAI error format.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the OpenAI error object with the additional fields number, run_state,
// request_id and retry_after_ms. Param is null if the error has no field.
type BodyError struct {
	Message      string   `json:"message"`
	Type         string   `json:"type"`
	Param        *string  `json:"param"`
	Code         string   `json:"code"`
	Number       Code     `json:"number"`
	RunState     RunState `json:"run_state"`
	RequestID    string   `json:"request_id,omitempty"`
	RetryAfterMS int64    `json:"retry_after_ms,omitempty"`
}

// Body returns the error as it is sent to a caller, without its cause.
func (e *Error) Body(requestID string) Body {
	var param *string
	if e.Field != "" {
		param = &e.Field
	}
	return Body{Error: BodyError{
		Message:      e.Message,
		Type:         e.Code.Type(),
		Param:        param,
		Code:         e.Code.String(),
		Number:       e.Code,
		RunState:     e.RunState,
		RequestID:    requestID,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}}
}

// RetryAfterSeconds returns the value of the Retry-After header in seconds, rounded up.
// If it is 0, the header is omitted.
func (e *Error) RetryAfterSeconds() int64 {
	return int64((e.RetryAfter + time.Second - 1) / time.Second)
}
