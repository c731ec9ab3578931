package site

// Restart has the i-th model server start again under its id, and say that it is ready.
// Connections go on; who has the links breaks them off.
func (s *Site) Restart(i int) {
	s.Models[i].Restart()
	s.setState(i, "ready")
}
