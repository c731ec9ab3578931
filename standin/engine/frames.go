package engine

import "github.com/cherryward/cherryward/api/wire/enginewire"

// base resets the frame for reuse. Frame numbers follow from the offset: the
// start frame is 0, token i is i+1, the last frame follows the last token.
func (s *frameWriter) base(kind enginewire.FrameKind, seq int) *enginewire.Frame {
	s.frame = enginewire.Frame{
		Run:         s.run.id,
		Incarnation: s.run.incarnation,
		Seq:         seq,
		Kind:        kind,
		Offset:      s.next,
	}
	return &s.frame
}

func (s *frameWriter) start() *enginewire.Frame {
	f := s.base(enginewire.FrameStart, 0)
	f.Version = s.run.from.version
	if s.e.Faults.Get().WrongVersion {
		f.Version += "-other"
	}
	f.CacheSalt = s.run.from.salt
	f.Model = s.run.from.model
	f.Adapter = s.run.from.adapter
	f.PromptTokens = s.run.promptTokens
	f.CachedTokens = s.run.cached * s.e.cfg.BlockTokens
	return f
}

// token writes the next token, and the stray frames that faults put beside it.
func (s *frameWriter) token(f Faults) {
	frame := s.base(enginewire.FrameTokens, s.next+1)
	frame.Tokens = 1
	frame.Text = s.run.word(s.next)
	if nth(frame.Seq, f.CrossEvery) {
		s.writeAs(frame, s.run.id+"-other", frame.Incarnation)
	}
	if nth(frame.Seq, f.LateEvery) {
		s.writeAs(frame, s.run.id, frame.Incarnation+"-earlier")
	}
	s.write(frame)
	if nth(frame.Seq, f.DuplicateEvery) {
		s.write(frame)
	}
	s.next++
}

// writeAs writes the frame with another origin and a text that no run has.
func (s *frameWriter) writeAs(f *enginewire.Frame, run, incarnation string) {
	stray := *f
	stray.Run = run
	stray.Incarnation = incarnation
	stray.Text = " !!!"
	s.write(&stray)
}

func (s *frameWriter) last() *enginewire.Frame {
	if s.run.err != nil {
		return s.failed(s.run.err)
	}
	f := s.base(enginewire.FrameEnd, s.next+1)
	f.Blocks = s.run.blocks
	f.OutputTokens = s.run.maxTokens
	f.Finish = s.run.finish
	return f
}

func (s *frameWriter) failed(err *enginewire.Error) *enginewire.Frame {
	seq := s.next + 1
	if !s.begun {
		seq = 0
	}
	f := s.base(enginewire.FrameError, seq)
	f.Error = err
	return f
}

// write sends one frame as a server-sent event. A failed write means that the
// client is gone, which the request's context tells.
func (s *frameWriter) write(f *enginewire.Frame) {
	s.buf.Reset()
	s.buf.WriteString("data: ")
	_ = s.enc.Encode(f)
	s.buf.WriteByte('\n')
	_, _ = s.w.Write(s.buf.Bytes())
	s.flushNow()
}
