package datagram

// maxUnknownMethods is the maximum number of methods without a handler that are logged, each once.
const maxUnknownMethods = 16

// loggedUnknownMethod reports whether a method has no handler and was logged before, and records that
// it is logged now. Newer builds may send a method many times a second.
func (c *Conn) loggedUnknownMethod(method string) bool {
	if _, known := c.handlers[method]; known {
		return false
	}
	if c.unknownMethods[method] || len(c.unknownMethods) == maxUnknownMethods {
		return true
	}
	c.unknownMethods[method] = true
	return false
}
