package scenarios

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

// expect checks the current value: expect NAME.FIELD OP VALUE, where VALUE may be @NAME.FIELD.
func (w *world) expect(a *args) error {
	ok, actual, err := w.evaluate(a)
	if err == nil && !ok {
		err = fmt.Errorf("%s is %s%s", a.word(0), actual, w.detail(a.word(0)))
	}
	return err
}

// await is like expect, but waits until the condition holds.
func (w *world) await(a *args) error {
	var actual string
	var err error
	ok := w.poll(a.duration("within", awaitLimit), func() bool {
		var ok bool
		ok, actual, err = w.evaluate(a)
		return ok || err != nil
	})
	if err == nil && !ok {
		err = fmt.Errorf("%s is still %s%s", a.word(0), actual, w.detail(a.word(0)))
	}
	return err
}

// detail describes a request or load in the error message of expect and await.
func (w *world) detail(path string) string {
	name, _, _ := strings.Cut(path, ".")
	if o := w.results[name]; o != nil {
		o.mu.Lock()
		defer o.mu.Unlock()
		return fmt.Sprintf(" (status %d, error %d %s: %s, %d tokens, %d cached)", o.status, o.code, o.state, o.message, len(o.text)/4, o.cached)
	}
	if l := w.loads[name]; l != nil {
		return fmt.Sprintf(" (%+v)", l.tally())
	}
	return ""
}

func (w *world) evaluate(a *args) (ok bool, actual string, err error) {
	if actual, err = w.value(a.word(0)); err != nil {
		return false, "", err
	}
	want := a.word(2)
	if path, isValue := strings.CutPrefix(want, "@"); isValue {
		if want, err = w.value(path); err != nil {
			return false, "", err
		}
	}
	ok, err = compare(actual, a.word(1), want)
	return ok, actual, err
}

func compare(actual, op, want string) (bool, error) {
	switch op {
	case "==":
		return actual == want, nil
	case "!=":
		return actual != want, nil
	case "in":
		return strings.Contains(","+want+",", ","+actual+","), nil
	case "contains":
		return strings.Contains(actual, want), nil
	}
	a, errA := strconv.ParseFloat(actual, 64)
	b, errB := strconv.ParseFloat(want, 64)
	if err := errors.Join(errA, errB); err != nil {
		return false, err
	}
	switch op {
	case ">=":
		return a >= b, nil
	case "<=":
		return a <= b, nil
	}
	return false, fmt.Errorf("unknown operator %q", op)
}

// report writes values to the test log, and appends them to the file in SCENARIO_REPORT if that is
// set.
func (w *world) report(a *args) error {
	for _, path := range a.words {
		v, err := w.value(path)
		if err != nil {
			return err
		}
		a.ts.Logf("%s: %s", path, v)
		if file := os.Getenv("SCENARIO_REPORT"); file != "" {
			f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
			if err != nil {
				return err
			}
			fmt.Fprintf(f, "%s %s %s\n", a.ts.Name(), path, v)
			if err := f.Close(); err != nil {
				return err
			}
		}
	}
	return nil
}

// value returns the value of NAME.FIELD.
func (w *world) value(path string) (string, error) {
	name, field, ok := strings.Cut(path, ".")
	if !ok {
		return "", fmt.Errorf("invalid value %q: want NAME.FIELD", path)
	}
	w.mu.Lock()
	o, l, n := w.results[name], w.loads[name], w.nodes[name]
	w.mu.Unlock()
	switch {
	case o != nil:
		return o.value(field)
	case l != nil:
		return w.loadValue(l, field)
	case n != nil:
		if field == "met" {
			return strconv.FormatBool(w.sawAllNodes(n)), nil
		}
		return n.value(w.ctx, field)
	}
	return w.standinValue(name, field)
}

func (o *outcome) value(field string) (string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch field {
	case "status":
		return strconv.Itoa(o.status), nil
	case "text":
		return o.text, nil
	case "tokens":
		return strconv.Itoa(len(o.text) / 4), nil
	case "endpoint":
		return o.endpoint(), nil
	case "whole":
		return strconv.FormatBool(o.complete), nil
	case "code":
		if o.code == 0 {
			return "none", nil
		}
		return o.code.String(), nil
	case "run_state":
		return string(o.state), nil
	case "message":
		return o.message, nil
	case "prompt_tokens":
		return strconv.Itoa(o.promptTokens), nil
	case "cached":
		return strconv.Itoa(o.cached), nil
	case "imported":
		return strconv.Itoa(o.imported), nil
	case "seconds":
		return strconv.FormatFloat(o.total.Seconds(), 'f', 3, 64), nil
	}
	return "", fmt.Errorf("unknown field %q of a request", field)
}

func (n *nodeProcess) value(ctx context.Context, field string) (string, error) {
	if metric, ok := strings.CutPrefix(field, "metric."); ok {
		return n.metric(ctx, metric)
	}
	switch field {
	case "ready":
		return strconv.Itoa(n.ready(ctx)), nil
	case "exited":
		select {
		case <-n.ended:
			return strconv.Itoa(n.cmd.ProcessState.ExitCode()), nil
		default:
			return "running", nil
		}
	}
	if object, ok := strings.CutPrefix(field, "revision."); ok {
		return strconv.FormatInt(n.revision(object), 10), nil
	}
	return "", fmt.Errorf("unknown field %q of a node", field)
}

// metric returns the sum of a metric over all labels, or 0 if the metric doesn't exist.
func (n *nodeProcess) metric(ctx context.Context, name string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, n.callers+"/metrics", nil)
	if err != nil {
		return "", err
	}
	resp, err := plainClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	sum := 0.0
	for line := range strings.Lines(string(data)) {
		series, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		if series == name || strings.HasPrefix(series, name+"{") {
			v, _ := strconv.ParseFloat(value, 64) // an invalid value counts as 0
			sum += v
		}
	}
	return strconv.FormatFloat(sum, 'f', -1, 64), err
}

// pause sleeps for a duration that is part of a guarantee or of a fault. To wait for a condition,
// scripts use await.
func (w *world) pause(a *args) error {
	d, err := time.ParseDuration(a.word(0))
	if err == nil {
		sleep(w.ctx, d)
	}
	return err
}

// set assigns a value to a script variable.
func (w *world) set(a *args) error {
	v, err := w.value(a.word(1))
	if err == nil {
		a.ts.Setenv(a.word(0), v)
	}
	return err
}

// exits runs a program that must exit with the given code.
func (w *world) exits(a *args) error {
	err := a.ts.Exec(a.word(1), a.words[2:]...)
	code := 0
	var ended *exec.ExitError
	if errors.As(err, &ended) {
		code = ended.ExitCode()
	}
	if strconv.Itoa(code) != a.word(0) {
		return fmt.Errorf("exit code %d", code)
	}
	return nil
}
