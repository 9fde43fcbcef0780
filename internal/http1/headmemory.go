package http1

// headReserveStep is how many bytes of an incomplete head are reserved at a time. A head that is shorter or comes at once reserves nothing.
const headReserveStep = 4 << 10

// headMemoryFactor is how many bytes an incomplete head occupies for each byte received: as received, and as parsed fields.
const headMemoryFactor = 2

// reserveHead makes the reservation of the head that is being received as large as the head, and ends it once the head is complete. If
// there is no memory, the head is refused.
func (c *clientConn) reserveHead() {
	c.mu.Lock()
	missing := c.scanner.incompleteHeadLength()*headMemoryFactor - c.headReserved
	ended := c.headMemory != nil && c.scanner.incompleteHeadLength() == 0
	if missing >= headReserveStep && c.headMemory == nil {
		c.headMemory = c.set.Input().Begin(c.AbortRead)
	}
	memory := c.headMemory
	c.mu.Unlock()
	switch {
	case ended:
		c.releaseHead()
	case missing >= headReserveStep:
		granted := memory.Grow(missing)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.headReserved += missing
		c.inputDropped = c.inputDropped || !granted
	}
}

// releaseHead ends the reservation of a head, if there is one.
func (c *clientConn) releaseHead() {
	c.mu.Lock()
	memory := c.headMemory
	c.headMemory = nil
	c.headReserved = 0
	c.mu.Unlock()
	if memory != nil {
		memory.Release()
	}
}
