package framecheck

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/cherryward/cherryward/api/wire/enginewire"
	"github.com/cherryward/cherryward/internal/result"
)

var expected = Expected{Run: "r", Version: "v1", CacheSalt: "s", Continues: true, Release: "r1"}

// frames returns the frames of a complete run of n tokens.
func frames(n int) []enginewire.Frame {
	out := []enginewire.Frame{{Run: "r", Incarnation: "i", Kind: enginewire.FrameStart, Version: "v1", Release: "r1", CacheSalt: "s"}}
	for i := range n {
		out = append(out, enginewire.Frame{Run: "r", Incarnation: "i", Seq: i + 1, Kind: enginewire.FrameTokens, Offset: i, Tokens: 1, Text: string(rune('a' + i))})
	}
	return append(out, enginewire.Frame{Run: "r", Incarnation: "i", Seq: n + 1, Kind: enginewire.FrameEnd, OutputTokens: n})
}

// checkAll checks frames in order and returns the delivered text.
func checkAll(c *Checker, in []enginewire.Frame) (string, error) {
	text := ""
	for _, f := range in {
		deliver, err := c.Check(&f)
		if err != nil {
			return text, err
		}
		if deliver {
			text += f.Text
		}
	}
	return text, nil
}

func TestCheckRejectsInvalidFrames(t *testing.T) {
	cases := []struct {
		name string
		edit func([]enginewire.Frame) []enginewire.Frame
		code result.Code
	}{
		{"gap", func(f []enginewire.Frame) []enginewire.Frame { return slices.Delete(f, 2, 3) }, result.AnswerTruncated},
		{"last token lost", func(f []enginewire.Frame) []enginewire.Frame { return slices.Delete(f, 3, 4) }, result.AnswerTruncated},
		{"no start", func(f []enginewire.Frame) []enginewire.Frame { return f[1:] }, result.AnswerMalformed},
		{"other version", func(f []enginewire.Frame) []enginewire.Frame { f[0].Version = "v2"; return f }, result.VersionMismatch},
		{"other release", func(f []enginewire.Frame) []enginewire.Frame { f[0].Release = "r2"; return f }, result.ReleaseMismatch},
		{"no release", func(f []enginewire.Frame) []enginewire.Frame { f[0].Release = ""; return f }, result.ReleaseMismatch},
		{"other account", func(f []enginewire.Frame) []enginewire.Frame { f[0].CacheSalt = "x"; return f }, result.AnswerOfOtherRun},
		{"text without a token", func(f []enginewire.Frame) []enginewire.Frame { f[1].Tokens = 0; return f }, result.AnswerMalformed},
		{"negative token count", func(f []enginewire.Frame) []enginewire.Frame { f[2].Tokens = -1; return f }, result.AnswerMalformed},
		{"last text without a token", func(f []enginewire.Frame) []enginewire.Frame {
			f[3].Tokens, f[4].OutputTokens = 0, 2
			return f
		}, result.AnswerMalformed},
		{"unknown kind", func(f []enginewire.Frame) []enginewire.Frame { f[1].Kind = "x"; return f }, result.AnswerMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			checker := NewChecker(expected)
			_, err := checkAll(checker, c.edit(frames(3)))
			must.True(t, result.Is(err, c.code), must.Sprint(err))
			must.False(t, checker.Complete())
		})
	}
	checker := NewChecker(expected)
	_, err := checkAll(checker, frames(3)[:4])
	must.NoError(t, err)
	must.False(t, checker.Complete())
}

// TestCheckDeliversEachTokenOfTheRunOnce checks with duplicated and lost frames, and with
// frames of other runs and incarnations, that the delivered text is always a prefix of the text of
// the run, that the answer is complete only with all of it, and that it is complete if none of the
// run's frames is lost.
func TestCheckDeliversEachTokenOfTheRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own := frames(6)
		var in []enginewire.Frame
		lost := false
		for _, f := range own {
			switch rapid.SampledFrom([]string{"keep", "keep", "keep", "double", "crossed", "late", "lose"}).Draw(t, "fault") {
			case "double":
				in = append(in, f, f)
			case "crossed":
				otherRun := f
				otherRun.Run, otherRun.Text = "other", "X"
				in = append(in, otherRun, f)
			case "late":
				otherIncarnation := f
				otherIncarnation.Incarnation, otherIncarnation.Text = "before", "Y"
				if f.Kind == enginewire.FrameStart {
					in = append(in, f)
				} else {
					in = append(in, otherIncarnation, f)
				}
			case "lose":
				lost = true
			default:
				in = append(in, f)
			}
		}
		checker := NewChecker(expected)
		text, err := checkAll(checker, in)
		if !lost && (err != nil || !checker.Complete()) {
			t.Fatalf("no frame lost, but err is %v and complete is %v", err, checker.Complete())
		}
		if checker.Complete() && text != "abcdef" {
			t.Fatalf("answer is complete with text %q", text)
		}
		if len(text) > 6 || text != "abcdef"[:len(text)] {
			t.Fatalf("delivered text %q is no prefix of the answer", text)
		}
	})
}

func TestResumedCheckerDeliversTheRemainingTokens(t *testing.T) {
	checker := NewResumedChecker(expected, 2)
	text, err := checkAll(checker, frames(5))
	must.NoError(t, err)
	must.Eq(t, "cde", text)
	must.True(t, checker.Complete())
}
