package node

import (
	"context"
	"fmt"
	"net"
	"time"

	"woodpick/internal/clock"
	"woodpick/internal/config"
)

// How a node ends: it accepts for a while after it was told to, and is done before it would be killed,
// which is the longest deadline, killCap at most, and killAfter later.
const (
	drainAccept = 600 * time.Millisecond
	killCap     = 3 * time.Second
	killAfter   = 700 * time.Millisecond
	killMargin  = 150 * time.Millisecond
	lastMargin  = 150 * time.Millisecond // from the last answers to the end
	quietGrace  = 300 * time.Millisecond // after the last connection was accepted
	drainStep   = 20 * time.Millisecond
)

// ending tells, from the moment that the node was told to end, until when it accepts connections, until
// when callers may go on using those that they have, when whatever is left is answered at once, and when
// it must be over.
type ending struct{ accept, serve, last, most time.Duration }

// endingOf is how a node ends: it serves for as long as most answers, which take less than half of their
// aim, come before the end. Callers that it lets go sooner would find no node at all.
func endingOf(cfg *config.Config) ending {
	var longest, aim time.Duration
	for _, c := range cfg.Classes {
		longest, aim = max(longest, time.Duration(c.Deadline)), max(aim, time.Duration(c.Aim))
	}
	most := min(longest, killCap) + killAfter - killMargin
	last := most - lastMargin
	return ending{accept: drainAccept, serve: max(drainAccept, last-aim/2), last: last, most: most}
}

// drain lets the callers go, and everything taken is answered: for a while they are served as ever on the
// connections that they have, for their requests would fail elsewhere until they are sent to another node;
// then each answer closes its connection. It returns once all are gone, or with an error when it takes too
// long. http.Server.Shutdown would wait for seconds on connections that never sent a request, past SIGKILL,
// and close idle ones under a request just read.
func (n *Node) drain(ctx context.Context, ln net.Listener, e ending) error {
	ctx, cancel := context.WithTimeout(ctx, e.most)
	defer cancel()
	begin := n.clock.Now()
	since := func() time.Duration { return n.clock.Now() - begin }
	n.front.Unready()
	clock.Sleep(ctx, e.accept)
	ln.Close()
	for serve := max(e.serve, e.accept+quietGrace); since() < serve && n.callers.Held() > 0; {
		clock.Sleep(ctx, drainStep)
	}
	n.front.Close()
	for told := false; n.callers.LetQuietGo() > 0; clock.Sleep(ctx, drainStep) {
		if ctx.Err() != nil {
			return fmt.Errorf("callers are left: %w", ctx.Err())
		}
		if !told && since() >= e.last {
			n.engine.LastCall()
			told = true
		}
	}
	return nil
}
