package scenarios

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cherryward/cherryward/internal/result"
	"github.com/cherryward/cherryward/internal/runid"
)

// connectionFailed records a failure of the connection. The caller counts as disconnected if it
// cancelled the request or could not connect.
func (o *outcome) connectionFailed(ctx context.Context, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notSent = isDialError(err)
	o.disconnected = ctx.Err() != nil || o.notSent
	o.message = err.Error()
}

// isDialError reports whether the connection could not be established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// read reads the response, either a stream of events or a single body.
func (o *outcome) read(ctx context.Context, resp *http.Response, start time.Time) {
	o.mu.Lock()
	o.status = resp.StatusCode
	o.mu.Unlock()
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		if err := o.readEvents(resp.Body, start); err != nil {
			o.connectionFailed(ctx, err)
		}
		return
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		o.connectionFailed(ctx, err)
		return
	}
	var failed result.Body
	if resp.StatusCode/100 != 2 && json.Unmarshal(data, &failed) == nil && failed.Error.Number != 0 {
		o.setError(failed.Error.Number, failed.Error.RunState, failed.Error.Message)
		return
	}
	o.readBody(data)
}

// event is one event of a stream, or the body of a response without streaming.
type event struct {
	Choices []struct {
		Text   string  `json:"text"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
		Details      struct {
			Cached   int `json:"cached_tokens"`
			Imported int `json:"imported_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *result.BodyError `json:"error"`
}

func (o *outcome) readBody(data []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.isRun {
		o.text, o.complete = string(data), true
		return
	}
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		o.message = err.Error()
		return
	}
	o.addEvent(&e)
	o.complete = true
}

func (o *outcome) addEvent(e *event) {
	for _, c := range e.Choices {
		o.text += c.Text
	}
	if e.Usage != nil {
		o.promptTokens, o.cached, o.imported = e.Usage.PromptTokens, e.Usage.Details.Cached, e.Usage.Details.Imported
	}
	if e.Error != nil {
		o.code, o.state, o.message = e.Error.Number, e.Error.RunState, e.Error.Message
	}
}

func (o *outcome) readEvents(body io.Reader, start time.Time) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, mebibyte)
	for lines.Scan() {
		if err := o.readLine(lines.Text(), start); err != nil {
			return err
		}
	}
	return lines.Err()
}

func (o *outcome) readLine(line string, start time.Time) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if id, ok := strings.CutPrefix(line, "id: "); ok {
		o.eventID = id
		_, offset, err := runid.ParseEventID(id)
		o.offset = offset
		return err
	}
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return nil
	}
	if data == "[DONE]" {
		o.complete = true
		return nil
	}
	var e event
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return err
	}
	o.addEvent(&e)
	if o.firstTokenTime == 0 && o.text != "" {
		o.firstTokenTime = time.Since(start)
	}
	return nil
}
