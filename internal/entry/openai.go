package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cherryward/cherryward/internal/result"
)

const (
	objectChat            = "chat.completion"
	objectChatChunk       = "chat.completion.chunk"
	objectCompletion      = "text_completion"
	objectModel           = "model"
	objectList            = "list"
	defaultMaxTokens      = 1024
	maxMaxTokens          = 1 << 20
	maxTemperature        = 2
	assistantRole         = "assistant"
	modelAdapterSeparator = ":"

	// commonFieldPrefix precedes the fields of common in the JSON decoder's errors.
	commonFieldPrefix = "common."
)

// common holds the fields that chat and completion requests share.
type common struct {
	Model         string         `json:"model"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options"`
	MaxTokens     *int           `json:"max_tokens"`
	Temperature   *float64       `json:"temperature"`
	Seed          *int64         `json:"seed"`
	N             *int           `json:"n"`

	// These fields identify the end user or label the request. They are accepted
	// and ignored.
	User             json.RawMessage `json:"user"`
	Metadata         json.RawMessage `json:"metadata"`
	Store            json.RawMessage `json:"store"`
	ServiceTier      json.RawMessage `json:"service_tier"`
	SafetyIdentifier json.RawMessage `json:"safety_identifier"`
	PromptCacheKey   json.RawMessage `json:"prompt_cache_key"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatRequest struct {
	common
	Messages            []message `json:"messages"`
	MaxCompletionTokens *int      `json:"max_completion_tokens"`
}

type message struct {
	Role    string  `json:"role"`
	Name    string  `json:"name"`
	Content content `json:"content"`
}

// content is the text of a message. In JSON it is a string or a list of text parts.
type content string

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *content) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = content(text)
		return nil
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return errContent
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return errContent
		}
		b.WriteString(p.Text)
	}
	*c = content(b.String())
	return nil
}

var errContent = errors.New("want a string or a list of text parts")

type completionRequest struct {
	common
	Prompt prompt `json:"prompt"`
}

// prompt is the input of a completion. In JSON it is a string, a list of one string,
// or a list of token ids.
type prompt struct {
	text string
	ids  []int
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *prompt) UnmarshalJSON(data []byte) error {
	if json.Unmarshal(data, &p.text) == nil {
		return nil
	}
	if json.Unmarshal(data, &p.ids) == nil {
		return nil
	}
	var texts []string
	if json.Unmarshal(data, &texts) == nil && len(texts) == 1 {
		p.text, p.ids = texts[0], nil
		return nil
	}
	return errPrompt
}

var errPrompt = errors.New("want one text or one list of token ids")

// decodeBody decodes a body of one JSON value of at most limit bytes into dst. If the
// body has an unsupported field, it fails and the error names the field.
func decodeBody(c echo.Context, limit int64, dst any) error {
	defer setReadDeadline(c, time.Time{})
	r := http.MaxBytesReader(c.Response(), c.Request().Body, limit)
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	err := dec.Decode(dst)
	if err == nil && dec.More() {
		err = errors.New("more than one JSON value")
	}
	if err == nil {
		return nil
	}
	return bodyError(err)
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.Wrap(err, result.BodyTooLarge)
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return result.Wrap(err, result.InvalidValue, result.WithField(strings.TrimPrefix(wrongType.Field, commonFieldPrefix)))
	}
	const unknown = "json: unknown field "
	if name, ok := strings.CutPrefix(err.Error(), unknown); ok {
		return result.Wrap(err, result.UnknownField, result.WithField(strings.Trim(name, `"`)))
	}
	switch {
	case errors.Is(err, errContent):
		return result.Wrap(err, result.InvalidValue, result.WithField("messages.content"), result.WithMessage("%s", errContent))
	case errors.Is(err, errPrompt):
		return result.Wrap(err, result.InvalidValue, result.WithField("prompt"), result.WithMessage("%s", errPrompt))
	}
	return result.Wrap(err, result.MalformedBody)
}

type usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails promptDetails `json:"prompt_tokens_details"`
}

// promptDetails reports the source of the prompt's context. ImportedTokens is the
// part of CachedTokens that was transferred from a store host; TransferredBytes is the
// number of bytes of that transfer.
type promptDetails struct {
	CachedTokens     int   `json:"cached_tokens"`
	ImportedTokens   int   `json:"imported_tokens"`
	TransferredBytes int64 `json:"link_bytes"`
}

type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type choice struct {
	Index        int            `json:"index"`
	Message      *answerMessage `json:"message,omitempty"`
	Text         *string        `json:"text,omitempty"`
	Logprobs     *struct{}      `json:"logprobs"`
	FinishReason *string        `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}
