package invariant

import (
	"errors"
	"fmt"
	"strings"

	"github.com/cherryward/cherryward/internal/result"
)

// WholeAnswers checks that every caller received either its complete answer or a numbered error, and
// never a token that is wrong, missing or duplicated.
func WholeAnswers(answers []Answer) error {
	var errs []error
	for i := range answers {
		if err := checkAnswer(&answers[i]); err != nil {
			errs = append(errs, fmt.Errorf("answer %s: %w", answers[i].Name, err))
		}
	}
	return errors.Join(errs...)
}

func checkAnswer(a *Answer) error {
	switch {
	case !strings.HasPrefix(a.Want, a.Text):
		return fmt.Errorf("its %d bytes are not a prefix of the expected answer", len(a.Text))
	case a.Offset >= 0 && a.Offset*tokenBytes != len(a.Text):
		return fmt.Errorf("the last event states %d tokens, but %d bytes were received", a.Offset, len(a.Text))
	case a.Whole && a.Text != a.Want:
		return fmt.Errorf("marked complete after %d of %d bytes", len(a.Text), len(a.Want))
	case a.Whole && a.Code != 0:
		return fmt.Errorf("complete, but with error %d", a.Code)
	case !a.Whole && a.Code == 0 && !a.EntryGone:
		return errors.New("aborted without a numbered error")
	}
	return nil
}

// AccountsApart checks that no prompt found more cached context than its own account can have left:
// the longest prefix that it shares with the account's other prompts and their answers. Prompts
// started by several engines are not checked, since they may find what they cached themselves.
func AccountsApart(answers []Answer) error {
	var errs []error
	for i := range answers {
		a := &answers[i]
		if a.Cached == 0 || a.Engines > 1 {
			continue
		}
		if own := maxOwnContext(answers, i); a.Cached > own {
			errs = append(errs, fmt.Errorf("answer %s: %d tokens cached, but account %s left at most %d", a.Name, a.Cached, a.Account, own))
		}
	}
	return errors.Join(errs...)
}

// maxOwnContext returns the length in tokens of the longest prefix of a prompt that its account sent
// or received in another request.
func maxOwnContext(answers []Answer, i int) int {
	longest := 0
	for j := range answers {
		if j != i && answers[j].Account == answers[i].Account {
			longest = max(longest, commonPrefix(answers[i].Prompt, answers[j].Prompt+answers[j].Want))
		}
	}
	return longest / tokenBytes
}

// commonPrefix returns the length of the longest common prefix.
func commonPrefix(a, b string) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// NotRunPrompts checks that no engine started a prompt whose caller received the run state not_run.
func NotRunPrompts(answers []Answer) error {
	var errs []error
	for i := range answers {
		a := &answers[i]
		if a.RunState == result.NotRun && (a.Engines > 0 || a.Text != "") {
			errs = append(errs, fmt.Errorf("answer %s: not_run, but %d engines started it", a.Name, a.Engines))
		}
	}
	return errors.Join(errs...)
}
