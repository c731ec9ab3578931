// Package answer checks the frames of a run, so that a caller gets the whole
// answer to its own request or an error, never part of one as if complete.
//
// Guarantee: the tokens that Check delivers are those of one run on one weight
// version for one client account, each once and in order. Frames of other runs
// and other engine incarnations are dropped; a gap, another version or another
// account's salt fails the answer, and so does text that no token accounts for.
// Only an end frame whose token count agrees makes it complete.
package answer

import (
	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/result"
)

// Expected is what the frames of a run must state.
type Expected struct {
	Run       string
	Version   string // empty for a resumed run, whose start was checked before
	CacheSalt string
}

// Checker checks the frames of one run on one engine, over one or more streams.
// It is not safe for concurrent use.
type Checker struct {
	want        Expected
	incarnation string
	tokens      int // output tokens delivered
	complete    bool
}

// NewChecker returns a checker for a run that has delivered no token yet.
func NewChecker(want Expected) *Checker {
	return &Checker{want: want}
}

// ResumeAt returns a checker for a run of which tokens were delivered before.
func ResumeAt(want Expected, tokens int) *Checker {
	return &Checker{want: want, tokens: tokens}
}

// Tokens returns the number of output tokens delivered.
func (c *Checker) Tokens() int { return c.tokens }

// Complete tells whether the end frame has come and agreed.
func (c *Checker) Complete() bool { return c.complete }

// Check takes the next frame and tells whether it is to be delivered.
func (c *Checker) Check(f *enginewire.Frame) (deliver bool, err error) {
	if c.foreign(f) {
		return false, nil
	}
	switch f.Kind {
	case enginewire.FrameStart:
		return c.checkStart(f)
	case enginewire.FrameTokens:
		return c.checkTokens(f)
	case enginewire.FrameEnd:
		return c.checkEnd(f)
	case enginewire.FrameError:
		return false, frameError(f)
	}
	return false, result.New(result.AnswerMalformed, result.WithField("kind"))
}

// foreign tells frames of other runs and of other incarnations of the engine.
func (c *Checker) foreign(f *enginewire.Frame) bool {
	if f.Run != c.want.Run {
		return true
	}
	return c.incarnation != "" && f.Incarnation != c.incarnation
}

func (c *Checker) checkStart(f *enginewire.Frame) (bool, error) {
	if c.incarnation != "" {
		return false, nil
	}
	if c.want.Version != "" && f.Version != c.want.Version {
		return false, result.New(result.VersionMismatch)
	}
	if f.CacheSalt != c.want.CacheSalt {
		return false, result.New(result.AnswerOfOtherRun, result.WithField("cache_salt"))
	}
	c.incarnation = f.Incarnation
	return true, nil
}

func (c *Checker) checkTokens(f *enginewire.Frame) (bool, error) {
	if c.incarnation == "" {
		return false, result.New(result.AnswerMalformed, result.WithField("start"))
	}
	if f.Tokens < 1 && f.Text != "" {
		return false, result.New(result.AnswerMalformed, result.WithField("tokens"))
	}
	end := f.Offset + f.Tokens
	if end <= c.tokens {
		return false, nil
	}
	if f.Offset != c.tokens {
		return false, result.New(result.AnswerTruncated, result.WithField("offset"))
	}
	c.tokens = end
	return true, nil
}

func (c *Checker) checkEnd(f *enginewire.Frame) (bool, error) {
	if c.incarnation == "" {
		return false, result.New(result.AnswerMalformed, result.WithField("start"))
	}
	if f.OutputTokens != c.tokens {
		return false, result.New(result.AnswerTruncated, result.WithField("output_tokens"))
	}
	c.complete = true
	return true, nil
}

func frameError(f *enginewire.Frame) error {
	if f.Error == nil {
		return result.New(result.AnswerMalformed, result.WithField("error"))
	}
	if f.Error.NotRun {
		return result.New(result.EndpointRefused, result.WithRunState(result.NotRun))
	}
	return result.New(result.EndpointBrokeOff, result.WithMessage("the engine failed the run: %s", f.Error.Code))
}
