package entry

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/runs"
)

// bytesPerToken is the assumed length of a token in the check of the context
// length, since this package has no tokenizer.
const bytesPerToken = 4

// chat serves POST /v1/chat/completions.
func (s *Server) chat(c echo.Context) error {
	if id := c.Request().Header.Get(headerLastEventID); id != "" {
		return s.resume(c, id, objectChatChunk)
	}
	var body chatRequest
	if err := decodeBody(c, s.Limits.MaxBodyBytes, &body); err != nil {
		return err
	}
	if body.MaxCompletionTokens != nil {
		body.MaxTokens = body.MaxCompletionTokens
	}
	text, err := renderChat(body.Messages)
	if err != nil {
		return err
	}
	return s.prompt(c, &body.common, prompt{text: text}, objectChat)
}

// completion serves POST /v1/completions.
func (s *Server) completion(c echo.Context) error {
	if id := c.Request().Header.Get(headerLastEventID); id != "" {
		return s.resume(c, id, objectCompletion)
	}
	var body completionRequest
	if err := decodeBody(c, s.Limits.MaxBodyBytes, &body); err != nil {
		return err
	}
	if body.Prompt.text == "" && len(body.Prompt.ids) == 0 {
		return result.New(result.InvalidValue, result.WithField("prompt"), result.WithMessage("prompt is empty"))
	}
	return s.prompt(c, &body.common, body.Prompt, objectCompletion)
}

// renderChat joins messages into one prompt text. The text of a conversation's earlier
// turns is a prefix of the text of its later requests, so cached context is reused.
func renderChat(messages []message) (string, error) {
	if len(messages) == 0 {
		return "", result.New(result.InvalidValue, result.WithField("messages"), result.WithMessage("messages is empty"))
	}
	var b strings.Builder
	for _, m := range messages {
		switch m.Role {
		case "system", "developer", "user", assistantRole:
		default:
			return "", result.New(result.InvalidValue, result.WithField("messages.role"), result.WithMessage("role %q is not served", m.Role))
		}
		b.WriteString("<|" + m.Role + "|>\n")
		b.WriteString(string(m.Content))
		b.WriteString("\n")
	}
	b.WriteString("<|" + assistantRole + "|>\n")
	return b.String(), nil
}

// prompt validates and admits a prompt, runs it and writes its answer.
func (s *Server) prompt(c echo.Context, body *common, p prompt, object string) error {
	info := requestOf(c)
	info.isPrompt = true
	if err := s.checkAcceptsWork(); err != nil {
		return err
	}
	req, err := s.runRequest(c, body, p)
	if err != nil {
		return err
	}
	done, err := s.Admission.Admit(c.Request().Context(), info.account, promptTokens(p)+req.MaxTokens)
	if err != nil {
		return err
	}
	defer func() { done(info.summary.PromptTokens + info.summary.OutputTokens) }()
	if key := c.Request().Header.Get(headerIdempotencyKey); key != "" {
		return s.ticketedPrompt(c, key, body, req, object)
	}
	if body.Stream {
		req.Resumable = true
		return s.streamPrompt(c, body, req, object)
	}
	return s.bufferedPrompt(c, body, req, object)
}

// runRequest validates a request against the configuration and converts it to a
// runs.Request.
func (s *Server) runRequest(c echo.Context, body *common, p prompt) (*runs.Request, error) {
	info := requestOf(c)
	deadline, err := s.deadline(c, info.startedAt)
	if err != nil {
		return nil, err
	}
	if info.class, err = parsePriority(c); err != nil {
		return nil, err
	}
	req := &runs.Request{ID: info.id, Account: info.accountID, Weight: info.account.GetWeight(), Class: info.class, Deadline: deadline, Prompt: p.text, PromptIDs: p.ids}
	if err := s.setModel(c.Request().Context(), info, req, body.Model); err != nil {
		return nil, err
	}
	if err := setSampling(req, body); err != nil {
		return nil, err
	}
	model, _ := info.view.Model(req.Model)
	if limit := int(model.GetMaxContextTokens()); limit > 0 && promptTokens(p) > limit {
		return nil, result.New(result.ContextTooLong, result.WithField("prompt"))
	}
	return req, nil
}

// setModel resolves a name of the form "model" or "model:adapter" and sets the
// model, weight version and adapter of req.
func (s *Server) setModel(ctx context.Context, info *requestInfo, req *runs.Request, name string) error {
	modelName, adapterName, withAdapter := strings.Cut(name, modelAdapterSeparator)
	_, ok := info.view.Model(modelName)
	if !ok {
		return result.New(result.UnknownModel, result.WithField("model"))
	}
	version, ok := s.VersionSelector.Serving(ctx, info.view, modelName, req.VersionDraw())
	if !ok {
		return result.New(result.NoEndpoint, result.WithField("model"), result.WithMessage("the model has no version in service"))
	}
	req.Model = modelName
	if !withAdapter {
		req.SetVersion(version)
		return nil
	}
	adapter, ok := info.view.Adapter(adapterName)
	if !ok || adapter.GetModel() != modelName || !canUseAdapter(adapter, info.account.GetName()) {
		return result.New(result.UnknownAdapter, result.WithField("model"))
	}
	req.Adapter = adapterName
	req.SetVersion(version)
	return nil
}

func canUseAdapter(adapter *pb.Adapter, account string) bool {
	return len(adapter.GetAccounts()) == 0 || slices.Contains(adapter.GetAccounts(), account)
}

func setSampling(req *runs.Request, body *common) error {
	if body.N != nil && *body.N != 1 {
		return result.New(result.InvalidValue, result.WithField("n"), result.WithMessage("only one answer a request is served"))
	}
	req.MaxTokens = defaultMaxTokens
	if body.MaxTokens != nil {
		req.MaxTokens = *body.MaxTokens
	}
	if req.MaxTokens < 1 || req.MaxTokens > maxMaxTokens {
		return result.New(result.InvalidValue, result.WithField("max_tokens"))
	}
	if body.Temperature != nil {
		req.Temperature = *body.Temperature
	}
	if req.Temperature < 0 || req.Temperature > maxTemperature {
		return result.New(result.InvalidValue, result.WithField("temperature"))
	}
	if body.Seed != nil {
		req.Seed = *body.Seed
	}
	return nil
}

func promptTokens(p prompt) int {
	if p.ids != nil {
		return len(p.ids)
	}
	return len(p.text) / bytesPerToken
}

// models serves GET /v1/models.
func (s *Server) models(c echo.Context) error {
	view := requestOf(c).view
	list := modelList{Object: objectList, Data: []modelEntry{}}
	for _, item := range view.Items(config.KindModel) {
		list.Data = append(list.Data, modelEntry{ID: item.Value.GetName(), Object: objectModel, OwnedBy: "cherryward"})
	}
	return c.JSON(http.StatusOK, list)
}
