package answerhead

// fieldLine is a line of a head after the status line.
type fieldLine struct{}

func (f *fieldLine) add(byte) (bad bool) { return false }

func (f *fieldLine) check(bool, *framing) error { return nil }

func (f *fieldLine) reset() {}

// framing is what a head says of the end of its body.
type framing struct{}

func (f *framing) check(*statusLine) error { return nil }
