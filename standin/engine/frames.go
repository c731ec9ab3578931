package engine

import "github.com/cherryward/cherryward/api/wire/enginewire"

// resetFrame reinitializes the frame, which is reused. The frame numbers follow from the offset:
// the start frame is 0, token i is i+1, and the end frame follows the last token.
func (s *frameWriter) resetFrame(kind enginewire.FrameKind, seq int) *enginewire.Frame {
	s.frame = enginewire.Frame{
		Run:         s.run.id,
		Incarnation: s.run.incarnation,
		Seq:         seq,
		Kind:        kind,
		Offset:      s.next,
	}
	return &s.frame
}

// start returns the start frame.
func (s *frameWriter) start() *enginewire.Frame {
	f := s.resetFrame(enginewire.FrameStart, 0)
	f.Version = s.run.from.version
	if s.e.Faults.Get().WrongVersion {
		f.Version += "-other"
	}
	f.Release = s.e.cfg.Release
	f.CacheSalt = s.run.from.salt
	f.Model = s.run.from.model
	f.Adapter = s.run.from.adapter
	f.PromptTokens = s.run.promptTokens
	f.CachedTokens = s.run.cached * s.e.cfg.BlockTokens
	return f
}

// token writes the next token frame, and the stray frames that the faults add.
func (s *frameWriter) token(f Faults) {
	frame := s.resetFrame(enginewire.FrameTokens, s.next+1)
	frame.Tokens = 1
	frame.Text = s.run.word(s.next)
	if nth(frame.Seq, f.CrossEvery) {
		s.writeStray(frame, s.run.id+"-other", frame.Incarnation)
	}
	if nth(frame.Seq, f.LateEvery) {
		s.writeStray(frame, s.run.id, frame.Incarnation+"-earlier")
	}
	s.write(frame)
	if nth(frame.Seq, f.DuplicateEvery) {
		s.write(frame)
	}
	s.next++
}

// writeStray writes a copy of the frame with another run or incarnation and a text that occurs in
// no run.
func (s *frameWriter) writeStray(f *enginewire.Frame, run, incarnation string) {
	stray := *f
	stray.Run = run
	stray.Incarnation = incarnation
	stray.Text = " !!!"
	s.write(&stray)
}

// finalFrame returns the end frame, or the error frame of a failed run.
func (s *frameWriter) finalFrame() *enginewire.Frame {
	if s.run.err != nil {
		return s.errorFrame(s.run.err)
	}
	f := s.resetFrame(enginewire.FrameEnd, s.next+1)
	f.Blocks = s.run.blocks
	f.OutputTokens = s.run.maxTokens
	f.Finish = s.run.finish
	return f
}

// errorFrame returns an error frame.
func (s *frameWriter) errorFrame(err *enginewire.Error) *enginewire.Frame {
	seq := s.next + 1
	if !s.started {
		seq = 0
	}
	f := s.resetFrame(enginewire.FrameError, seq)
	f.Error = err
	return f
}

// write sends a frame as a server-sent event. Errors are ignored: a write fails only if the client
// has disconnected, which cancels the request's context.
func (s *frameWriter) write(f *enginewire.Frame) {
	s.buf.Reset()
	s.buf.WriteString("data: ")
	_ = s.enc.Encode(f)
	s.buf.WriteByte('\n')
	_, _ = s.w.Write(s.buf.Bytes())
	s.flushNow()
}
