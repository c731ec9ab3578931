package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cherryward/cherryward/standin/site"
)

// ask NODE PATH STATUS [SESSION] sends a request and checks the response status.
func (w *world) ask(words []string) error {
	status, err := w.send(words)
	if err != nil {
		return err
	}
	if want := words[2]; want != strconv.Itoa(status) {
		return fmt.Errorf("status %d", status)
	}
	return nil
}

// await repeats ask until the response has the expected status.
func (w *world) await(words []string) error {
	return w.poll(func() bool { return w.ask(words) == nil })
}

func (w *world) poll(ok func() bool) error {
	deadline := time.After(awaitTimeout)
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for !ok() {
		select {
		case <-deadline:
			return fmt.Errorf("condition not met within %v", awaitTimeout)
		case <-ticker.C:
		}
	}
	return nil
}

func (w *world) send(words []string) (status int, err error) {
	node, path := words[0], words[1]
	session := ""
	if len(words) > 3 {
		session = words[3]
	}
	w.mu.Lock()
	w.requests++
	id := fmt.Sprintf("a%d", w.requests)
	w.mu.Unlock()
	req, err := site.Request(context.Background(), w.nodes[node].addr, http.MethodGet, path, key, id, session)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	if resp.StatusCode == http.StatusServiceUnavailable && strings.HasPrefix(path, site.PathUpload) {
		w.mu.Lock()
		w.rejected = append(w.rejected, id)
		w.mu.Unlock()
	}
	return resp.StatusCode, nil
}
