package node

import "slices"

// replacedParts holds the parts that a change has replaced and that have to be retired.
type replacedParts struct {
	pools     []*pool
	sources   []*source
	listeners []*listener
	sockets   []*socket
}

// retire closes replaced parts in the background once their open requests are answered. The caller holds mu.
func (n *Node) retire(replaced replacedParts) {
	for _, s := range replaced.sources {
		n.inBackground(func() { s.stop() })
	}
	for _, s := range replaced.sockets {
		closed := make(chan struct{})
		n.closingSockets[s.key] = closed
		n.inBackground(func() {
			defer func() {
				close(closed)
				n.mu.Lock()
				delete(n.closingSockets, s.key)
				n.mu.Unlock()
			}()
			if err := s.release(acceptGrace); err != nil {
				n.log.Warn("releasing a replaced listener failed", "address", s.Addr(), "error", err)
			}
			s.shutdown()
		})
	}
	for _, l := range replaced.listeners {
		l.frontend.SetReady(false)
		n.retiringListeners[l] = true
		n.inBackground(func() {
			n.retireFrontend(l.frontend)
			n.mu.Lock()
			delete(n.retiringListeners, l)
			n.mu.Unlock()
		})
	}
	for _, p := range replaced.pools {
		n.retiringPools[p] = true
		n.inBackground(func() {
			p.retire()
			n.mu.Lock()
			delete(n.retiringPools, p)
			n.mu.Unlock()
		})
	}
}

// inBackground runs f in a goroutine that close waits for.
func (n *Node) inBackground(f func()) {
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		f()
	}()
}

// retiringConnections returns the number of open connections from retiring pools to servers.
func (n *Node) retiringConnections() (sum int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.retiringPools {
		sum += p.backend.Connections()
	}
	return sum
}

// Retiring returns the names of pools and listeners that were replaced by earlier changes and are not closed yet, as "pool
// a" or "listener b".
func (n *Node) Retiring() (names []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.retiringNames()
}

// retiringNames implements Retiring. The caller holds mu.
func (n *Node) retiringNames() (names []string) {
	for p := range n.retiringPools {
		names = append(names, "pool "+p.name)
	}
	for l := range n.retiringListeners {
		names = append(names, "listener "+l.cfg.Name)
	}
	slices.Sort(names)
	return names
}
