package node

import (
	"fmt"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/config"
	"damsontrestle/internal/downstream"
	"damsontrestle/internal/hotrestart"
)

// How a node ends: it accepts for a while after it was told to, and is done before it would be killed, which is
// the longest deadline, maxKillAfter at most, and killAfter later. The process may be held up for stallAllowance at any moment
// of its end, so that nothing is left to the last of its time.
const (
	acceptTime     = 600 * time.Millisecond
	maxKillAfter   = 3 * time.Second
	killAfter      = 700 * time.Millisecond
	stallAllowance = 150 * time.Millisecond
	exitMargin     = 50 * time.Millisecond  // from the end of the drain to the exit
	answerMargin   = 100 * time.Millisecond // from the last answers to the end
	closeMargin    = 100 * time.Millisecond // from the last accepts, and from the first closes, to the last answers
	quietGrace     = 300 * time.Millisecond // after the last connection was accepted
	drainStep      = 20 * time.Millisecond
	handOverTime   = 100 * time.Millisecond // before the last answers, requests replicated are given to others
)

// shutdownSchedule tells, from the moment that the node was told to end, until when it accepts connections, until when clients
// may go on using those that they have, when whatever is left is answered at once, from when on it is over as soon as
// no request is owed an answer, and when it must be over.
type shutdownSchedule struct{ stopAccepting, closeConnections, answerAll, finish, deadline time.Duration }

// newShutdownSchedule is how a node ends: it serves for as long as most answers, which take less than half of their latency objective, come
// before the end. Clients that it lets go sooner would find no node at all.
func newShutdownSchedule(cfg *config.Config) shutdownSchedule {
	var longest, objective time.Duration
	for _, c := range cfg.Classes {
		longest, objective = max(longest, time.Duration(c.Deadline)), max(objective, time.Duration(c.LatencyObjective))
	}
	must := min(longest, maxKillAfter) + killAfter - exitMargin
	most := must - stallAllowance
	last := most - answerMargin
	accept := min(acceptTime, last-closeMargin)
	serve := min(max(last-objective/2, accept+quietGrace), last-closeMargin)
	return shutdownSchedule{accept, serve, last, most, must}
}

// drain lets the clients go, and everything taken is answered: for a while they are served as ever on the
// connections that they have, for their requests would fail elsewhere until they are sent to another node;
// then each answer closes its connection. It returns once all are gone, or with an error when it takes too
// long. http.Server.Shutdown would wait for seconds on connections that never sent a request, past SIGKILL,
// and close idle ones under a request just read.
func (n *Node) drain() error {
	n.mu.Lock()
	n.shuttingDown = true
	n.readiness.End()
	close(n.draining)
	e := newShutdownSchedule(n.cfg)
	if n.options.shutdown != nil {
		e = *n.options.shutdown
	}
	var fronts []front
	for _, l := range n.listeners {
		fronts = append(fronts, l.front)
	}
	sockets, pools := n.sockets, n.allPools()
	n.mu.Unlock()
	begin := n.clock.Now()
	for _, p := range pools {
		p.engine.ShutdownAt(begin + e.answerAll)
	}
	since := func() time.Duration { return n.clock.Now() - begin }
	// Where another process of this node goes on at the same addresses, they stay ready: new connections go to
	// that one, and each answer sends its client there.
	followed := n.options.Processes != nil && n.options.Processes.Followed()
	for _, f := range fronts {
		f.SetReady(followed)
		f.SetClosing(followed)
	}
	if followed {
		n.log.Info("another process of this node goes on")
		for _, s := range sockets {
			if err := hotrestart.Yield(s.Listener); err != nil {
				n.log.Warn("clients may still connect here", "address", s.Addr(), "error", err)
			}
		}
	}
	clock.Sleep(n.incarnation, e.stopAccepting-since())
	for _, s := range sockets {
		if err := s.shutdown(); err != nil { // what was taken is owed an answer all the same
			n.log.Warn("a listener was not closed", "address", s.Addr(), "error", err)
		}
	}
	for since() < e.closeConnections && n.clients.Open() > 0 {
		clock.Sleep(n.incarnation, drainStep)
	}
	for _, f := range fronts {
		f.SetClosing(true)
	}
	// told: the last call came at an earlier step, so that its answers have had time to be written
	for told := false; closeIdle(fronts, n.clients) > 0; clock.Sleep(n.incarnation, drainStep) {
		if n.gateway != nil && since() >= e.answerAll-handOverTime {
			n.gateway.HandOver()
		}
		if since() >= e.answerAll {
			if !told {
				answerAll(pools)
			}
			n.clients.CutHalf() // a request completed at this moment is rejected, whatever comes later is not read
		}
		switch owed := n.clients.Owed(); {
		case told && since() >= e.finish && owed == 0:
			return nil // who is left has not closed, or doesn't take its answer
		case told && since() >= max(e.finish, e.deadline):
			return fmt.Errorf("%d requests are not answered", owed)
		}
		told = told || since() >= e.answerAll
	}
	return nil
}

// answerAll has all that is unanswered answered now.
func answerAll(pools []*pool) {
	for _, p := range pools {
		p.engine.AnswerAll()
	}
}

// closeIdle closes the front ends' quiet connections and tells how many are left of all.
func closeIdle(fronts []front, set *downstream.Set) int {
	for _, f := range fronts {
		f.CloseQuiet()
	}
	return set.Open()
}
