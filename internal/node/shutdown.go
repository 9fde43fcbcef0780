package node

import (
	"fmt"
	"time"

	"damsontrestle/internal/clock"
	"damsontrestle/internal/config"
	"damsontrestle/internal/hotrestart"
)

// Times of a graceful shutdown. A node keeps accepting connections for a while after SIGTERM, and finishes before it is
// killed, which is killAfter after the longest deadline of its classes, counting at most maxKillAfter of that deadline.
// No step is scheduled for the last stallAllowance, because the process may stall for that long at any moment.
const (
	maxAcceptTime     = 600 * time.Millisecond
	maxKillAfter      = 3 * time.Second
	killAfter         = 700 * time.Millisecond
	stallAllowance    = 150 * time.Millisecond
	exitMargin        = 50 * time.Millisecond  // from the end of draining to the exit
	answerMargin      = 100 * time.Millisecond // from the last responses to the end of draining
	closeMargin       = 100 * time.Millisecond // from the last accept, and from the first closed connections, to the last responses
	lastAcceptGrace   = 300 * time.Millisecond // after the last accept, connections stay open for this long
	drainPollInterval = 20 * time.Millisecond
	handOverMargin    = 100 * time.Millisecond // replicated requests are handed over to successors this long before the last responses
)

// shutdownSchedule holds the times of the steps of a shutdown, relative to its beginning.
type shutdownSchedule struct {
	stopAccepting    time.Duration // listening sockets are closed
	closeConnections time.Duration // from then on, each response closes its connection
	answerAll        time.Duration // all open requests are answered
	finish           time.Duration // from then on, the shutdown ends as soon as no response is outstanding
	deadline         time.Duration // the shutdown fails if responses are still outstanding
}

// newShutdownSchedule keeps connections open until most responses are sent, which usually takes less than half of the
// latency objective: a client whose connection is closed earlier would find no node to connect to.
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
	s.stopAccepting = min(maxAcceptTime, s.answerAll-closeMargin)
	s.closeConnections = min(max(s.answerAll-objective/2, s.stopAccepting+lastAcceptGrace), s.answerAll-closeMargin)
	return s
}

// shutdown is a graceful shutdown in progress.
type shutdown struct {
	node               *Node
	schedule           shutdownSchedule
	beganAt            time.Duration // on the node's clock
	frontends          []frontend
	sockets            map[string]*socket
	pools              []*pool
	now                func() time.Duration // the node's clock
	answerOpenRequests func()               // makes the engines answer all open requests now
}

// drain shuts the node down gracefully and answers all accepted requests. For a while it keeps serving clients on their
// open connections, because their requests would fail elsewhere until the clients are routed to another node. After that
// each response closes its connection. drain returns once all connections are closed, or an error if the deadline passes
// first. http.Server.Shutdown is not suitable: it would wait for seconds, past SIGKILL, for connections that never sent a
// request, and would close an idle connection whose next request was just read.
func (n *Node) drain() error {
	s := n.beginShutdown()
	s.announce()
	s.closeSockets()
	s.serveConnections()
	return s.closeConnections()
}

// beginShutdown blocks further changes and schedules the time at which the engines answer the last requests.
func (n *Node) beginShutdown() *shutdown {
	n.mu.Lock()
	n.shuttingDown = true
	n.readiness.Shutdown()
	close(n.draining)
	s := &shutdown{node: n, schedule: newShutdownSchedule(n.cfg), sockets: n.sockets, pools: n.allPools(), now: n.clock.Now}
	s.answerOpenRequests = s.answerAll
	if n.options.schedule != nil {
		s.schedule = *n.options.schedule
	}
	for _, l := range n.listeners {
		s.frontends = append(s.frontends, l.frontend)
	}
	n.mu.Unlock()
	s.beganAt = s.now()
	for _, p := range s.pools {
		p.engine.ScheduleShutdown(s.beganAt + s.schedule.answerAll)
	}
	return s
}

// elapsed returns the time since the shutdown began.
func (s *shutdown) elapsed() time.Duration { return s.now() - s.beganAt }

// announce makes health checks report the node as not ready. If another process of this node takes over its addresses, the
// front ends stay ready instead: new connections go to that process, and each response closes its connection so that the
// client reconnects there.
func (s *shutdown) announce() {
	processes := s.node.options.Processes
	hasSuccessor := processes != nil && processes.HasSuccessor()
	for _, f := range s.frontends {
		f.SetReady(hasSuccessor)
		f.SetClosing(hasSuccessor)
	}
	if !hasSuccessor {
		return
	}
	s.node.log.Info("successor process is running; yielding listeners to it")
	for _, socket := range s.sockets {
		if err := hotrestart.DirectToSuccessor(socket.Listener); err != nil {
			s.node.log.Warn("yielding a listener failed; clients may still connect to this process", "address", socket.Addr(), "error", err)
		}
	}
}

// closeSockets keeps accepting connections until the scheduled time and then closes the listening sockets.
func (s *shutdown) closeSockets() {
	clock.Sleep(s.node.incarnation, s.schedule.stopAccepting-s.elapsed())
	for _, socket := range s.sockets {
		if err := socket.shutdown(); err != nil { // accepted clients still get their responses
			s.node.log.Warn("closing a listener failed", "address", socket.Addr(), "error", err)
		}
	}
}

// serveConnections keeps connections open until the scheduled time, or until none is left.
func (s *shutdown) serveConnections() {
	for s.elapsed() < s.schedule.closeConnections && s.node.clients.Len() > 0 {
		clock.Sleep(s.node.incarnation, drainPollInterval)
	}
}

// closeConnections makes each response close its connection and closes idle connections, until none is open. At the
// scheduled time it answers all open requests. It returns an error if responses are outstanding at the deadline.
func (s *shutdown) closeConnections() error {
	for _, f := range s.frontends {
		f.SetClosing(true)
	}
	clients := s.node.clients
	answered := false // in an earlier iteration, so that the responses had time to be written
	for ; s.closeIdle() > 0; clock.Sleep(s.node.incarnation, drainPollInterval) {
		elapsed := s.elapsed() // read once, so that an iteration either answers and counts as having answered, or neither
		if s.node.gateway != nil && elapsed >= s.schedule.answerAll-handOverMargin {
			s.node.gateway.HandOver()
		}
		mustAnswer := elapsed >= s.schedule.answerAll
		if mustAnswer && !answered {
			s.answerOpenRequests()
		}
		if mustAnswer {
			clients.AbortPartialRequests() // a request completed right now is rejected, and later data is not read
		}
		outstanding := clients.PendingResponses()
		if answered && outstanding == 0 && elapsed >= s.schedule.finish {
			return nil // the remaining clients did not close their connections or do not read their responses
		}
		if answered && elapsed >= max(s.schedule.finish, s.schedule.deadline) {
			return fmt.Errorf("%d requests are unanswered at the deadline", outstanding)
		}
		answered = mustAnswer
	}
	return nil
}

// answerAll makes the engines answer all open requests now.
func (s *shutdown) answerAll() {
	for _, p := range s.pools {
		p.engine.Shutdown()
	}
}

// closeIdle closes idle client connections and returns the number of all client connections that are left.
func (s *shutdown) closeIdle() int {
	for _, f := range s.frontends {
		f.CloseIdle()
	}
	return s.node.clients.Len()
}
