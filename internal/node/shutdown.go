package node

import (
	"fmt"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/config"
	"damsontrestle/internal/hotrestart"
)

// Times of a graceful shutdown. A node accepts connections for a while after SIGTERM, and has finished before it would
// be killed: killAfter after the longest deadline of its classes, of which maxKillAfter at most counts. The process may
// be stalled for stallAllowance at any moment, so that nothing is left to the last of its time.
const (
	acceptTime     = 600 * time.Millisecond
	maxKillAfter   = 3 * time.Second
	killAfter      = 700 * time.Millisecond
	stallAllowance = 150 * time.Millisecond
	exitMargin     = 50 * time.Millisecond  // from the end of the drain to the exit
	answerMargin   = 100 * time.Millisecond // from the last responses to the end
	closeMargin    = 100 * time.Millisecond // from the last accepts, and from the first closes, to the last responses
	quietGrace     = 300 * time.Millisecond // after the last connection was accepted
	drainStep      = 20 * time.Millisecond
	handOverTime   = 100 * time.Millisecond // before the last responses, replicated requests are handed over to successors
)

// shutdownSchedule holds the times of a shutdown's steps, from its begin.
type shutdownSchedule struct {
	stopAccepting    time.Duration // the sockets are closed
	closeConnections time.Duration // from here on each response closes its connection
	answerAll        time.Duration // whatever is open is answered at once
	finish           time.Duration // from here on it is over as soon as no client is owed a response
	deadline         time.Duration // it must be over
}

// newShutdownSchedule has connections serve until most responses have come, which take less than half of their latency
// objective: a client whose connection closes sooner would find no node at all.
func newShutdownSchedule(cfg *config.Config) shutdownSchedule {
	var longest, objective time.Duration
	for _, c := range cfg.Classes {
		longest = max(longest, time.Duration(c.Deadline))
		objective = max(objective, time.Duration(c.LatencyObjective))
	}
	var s shutdownSchedule
	s.deadline = min(longest, maxKillAfter) + killAfter - exitMargin
	s.finish = s.deadline - stallAllowance
	s.answerAll = s.finish - answerMargin
	s.stopAccepting = min(acceptTime, s.answerAll-closeMargin)
	s.closeConnections = min(max(s.answerAll-objective/2, s.stopAccepting+quietGrace), s.answerAll-closeMargin)
	return s
}

// shutdown is a graceful shutdown under way.
type shutdown struct {
	node     *Node
	schedule shutdownSchedule
	begin    time.Duration // on the node's clock
	fronts   []front
	sockets  map[string]*socket
	pools    []*pool
	now      func() time.Duration // the node's clock
	answer   func()               // has the engines answer all open requests now
}

// drain shuts the node down gracefully: all that was accepted is answered. For a while clients are served as ever on
// the connections that they have, for their requests would fail elsewhere until they are sent to another node; then
// each response closes its connection. It returns once all are closed, or with an error when that takes too long.
// http.Server.Shutdown would wait for seconds on connections that never sent a request, past SIGKILL, and close idle
// ones under a request just read.
func (n *Node) drain() error {
	s := n.beginShutdown()
	s.announce()
	s.closeSockets()
	s.serveConnections()
	return s.closeConnections()
}

// beginShutdown has the node begin no change any more, and its engines know when they answer the last requests.
func (n *Node) beginShutdown() *shutdown {
	n.mu.Lock()
	n.shuttingDown = true
	n.readiness.Shutdown()
	close(n.draining)
	s := &shutdown{node: n, schedule: newShutdownSchedule(n.cfg), sockets: n.sockets, pools: n.allPools(), now: n.clock.Now}
	s.answer = s.answerAll
	if n.options.schedule != nil {
		s.schedule = *n.options.schedule
	}
	for _, l := range n.listeners {
		s.fronts = append(s.fronts, l.front)
	}
	n.mu.Unlock()
	s.begin = s.now()
	for _, p := range s.pools {
		p.engine.ScheduleShutdown(s.begin + s.schedule.answerAll)
	}
	return s
}

// elapsed is the time since the shutdown began.
func (s *shutdown) elapsed() time.Duration { return s.now() - s.begin }

// announce has the front ends tell clients that the node is not ready. Where another process of this node takes over
// its addresses they stay ready: new connections go to that process, and each response sends its client there.
func (s *shutdown) announce() {
	processes := s.node.options.Processes
	hasSuccessor := processes != nil && processes.HasSuccessor()
	for _, f := range s.fronts {
		f.SetReady(hasSuccessor)
		f.SetClosing(hasSuccessor)
	}
	if !hasSuccessor {
		return
	}
	s.node.log.Info("another process of this node goes on")
	for _, socket := range s.sockets {
		if err := hotrestart.DirectToSuccessor(socket.Listener); err != nil {
			s.node.log.Warn("clients may still connect here", "address", socket.Addr(), "error", err)
		}
	}
}

// closeSockets accepts connections for as long as the schedule says, and then no more.
func (s *shutdown) closeSockets() {
	clock.Sleep(s.node.incarnation, s.schedule.stopAccepting-s.elapsed())
	for _, socket := range s.sockets {
		if err := socket.shutdown(); err != nil { // the clients that were accepted get their responses all the same
			s.node.log.Warn("a listener was not closed", "address", socket.Addr(), "error", err)
		}
	}
}

// serveConnections has open connections serve for as long as the schedule says, and while there are any.
func (s *shutdown) serveConnections() {
	for s.elapsed() < s.schedule.closeConnections && s.node.clients.Len() > 0 {
		clock.Sleep(s.node.incarnation, drainStep)
	}
}

// closeConnections has each response close its connection and closes idle ones, until none is open. At the schedule's
// time all open requests are answered; what is unanswered at its deadline is an error.
func (s *shutdown) closeConnections() error {
	for _, f := range s.fronts {
		f.SetClosing(true)
	}
	clients := s.node.clients
	answered := false // at an earlier step, so that the responses have had time to be written
	for ; s.closeIdle() > 0; clock.Sleep(s.node.incarnation, drainStep) {
		elapsed := s.elapsed() // read once: a step that answers is a step that counts as having answered
		if s.node.gateway != nil && elapsed >= s.schedule.answerAll-handOverTime {
			s.node.gateway.HandOver()
		}
		isDue := elapsed >= s.schedule.answerAll
		if isDue && !answered {
			s.answer()
		}
		if isDue {
			clients.AbortPartialRequests() // a request completed at this moment is rejected, whatever comes later is not read
		}
		owed := clients.PendingResponses()
		if answered && owed == 0 && elapsed >= s.schedule.finish {
			return nil // who is left has not closed, or doesn't take its response
		}
		if answered && elapsed >= max(s.schedule.finish, s.schedule.deadline) {
			return fmt.Errorf("%d requests are not answered", owed)
		}
		answered = isDue
	}
	return nil
}

// answerAll has the engines answer all open requests now.
func (s *shutdown) answerAll() {
	for _, p := range s.pools {
		p.engine.Shutdown()
	}
}

// closeIdle closes idle client connections and returns how many connections are left of all.
func (s *shutdown) closeIdle() int {
	for _, f := range s.fronts {
		f.CloseIdle()
	}
	return s.node.clients.Len()
}
