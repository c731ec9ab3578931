// Package framecheck validates the frames of a run, so that a caller gets the complete answer to its
// own request or an error, never a partial answer that looks complete.
//
// Guarantee: the tokens that Check lets through are those of one run on one weight version for one
// client account, each once and in order. Frames of other runs or other engine incarnations are
// dropped. A gap, another version, another account's cache salt, or text without tokens makes the
// answer invalid. The answer is complete only after an end frame with the matching token count.
package framecheck

import (
	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/result"
)

// Expected holds the values that the frames of a run must state.
type Expected struct {
	Run       string
	Version   string // empty for a resumed run, whose start frame was checked before
	CacheSalt string
	// Continues is true if another run has begun the answer, at an engine that stated Release as the release
	// of its software. Only engines that state the same release may continue it.
	Continues bool
	Release   string
}

// Checker validates the frames of one run on one engine, over one or more streams. It is not safe
// for concurrent use.
type Checker struct {
	expected    Expected
	incarnation string
	release     string // stated by the engine
	tokens      int    // output tokens delivered
	complete    bool
}

// NewChecker returns a checker for a run that has delivered no token yet.
func NewChecker(expected Expected) *Checker {
	return &Checker{expected: expected}
}

// NewResumedChecker returns a checker for a run of which the given number of tokens has been
// delivered already.
func NewResumedChecker(expected Expected, tokens int) *Checker {
	return &Checker{expected: expected, tokens: tokens}
}

// Tokens returns the number of output tokens delivered.
func (c *Checker) Tokens() int { return c.tokens }

// Release returns the release of its software that the engine stated in the start frame; empty if it stated
// none.
func (c *Checker) Release() string { return c.release }

// Complete reports whether an end frame with the matching token count has arrived.
func (c *Checker) Complete() bool { return c.complete }

// Check validates the next frame and reports whether it is to be delivered. It returns an error if
// the frame makes the answer invalid.
func (c *Checker) Check(f *enginewire.Frame) (deliver bool, err error) {
	if c.fromOtherRun(f) {
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

// fromOtherRun reports whether a frame belongs to another run or another incarnation of the engine.
func (c *Checker) fromOtherRun(f *enginewire.Frame) bool {
	if f.Run != c.expected.Run {
		return true
	}
	return c.incarnation != "" && f.Incarnation != c.incarnation
}

func (c *Checker) checkStart(f *enginewire.Frame) (bool, error) {
	if c.incarnation != "" {
		return false, nil
	}
	if c.expected.Version != "" && f.Version != c.expected.Version {
		return false, result.New(result.VersionMismatch)
	}
	if c.expected.Continues && f.Release != c.expected.Release {
		return false, result.New(result.ReleaseMismatch)
	}
	if f.CacheSalt != c.expected.CacheSalt {
		return false, result.New(result.AnswerOfOtherRun, result.WithField("cache_salt"))
	}
	c.incarnation, c.release = f.Incarnation, f.Release
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

// frameError returns the error for an error frame.
func frameError(f *enginewire.Frame) error {
	if f.Error == nil {
		return result.New(result.AnswerMalformed, result.WithField("error"))
	}
	if f.Error.NotRun {
		return result.New(result.EndpointRejected, result.WithRunState(result.NotRun))
	}
	return result.New(result.EndpointFailed, result.WithMessage("the engine failed the run: %s", f.Error.Code))
}
