package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that has come whole to a server.
type arrival struct {
	server, id string
	at         time.Time
	deadline   time.Duration // that the node told
	bytes      int
	wrong      string // how its body differs from the one that was sent; empty: not at all
}

// arrivals holds what came to all servers.
var arrivals struct {
	sync.Mutex
	all []arrival
}

func recordArrivals() {
	arrivals.Lock()
	defer arrivals.Unlock()
	for _, a := range arrivals.all {
		record("server %s got %s at %.3f with %d bytes%s; told to answer within %v", a.server, a.id, a.at.Sub(begun).Seconds(), a.bytes, a.wrong, a.deadline)
	}
}

// idText finds the ids in a body.
var idText = regexp.MustCompile(`1b1f03aa[0-9a-f]{8}`)

// difference tells where a body is not the one that belongs to its request, and whose bytes stand there.
func difference(id string, body string) string {
	own := bodyOf(id, len(body))
	for i := range own {
		if own[i] != body[i] {
			return fmt.Sprintf(", from byte %d on not its own but those of %s", i, idText.FindString(body[i:]))
		}
	}
	return ""
}

// server is a stand-in for a sound server of the first tier: it begins a request when its last byte has come, works
// on it for a time, and answers 200 with the request's id.
type server struct {
	target
	work func(r *http.Request) time.Duration
	stop stop

	mu    sync.Mutex
	conns map[net.Conn]bool
	ln    net.Listener
}

func newServer(uid, zone string, pod int, work func(r *http.Request) time.Duration) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &server{work: work, conns: map[net.Conn]bool{}, ln: l}
	s.target = target{UID: uid, Endpoint: l.Addr().String(), Zone: zone, Model: "front-std", Pod: pod, State: "in_service", Capacity: 1}
	srv := &http.Server{Handler: s, IdleTimeout: time.Minute, ConnState: s.track}
	go srv.Serve(l)
	return s
}

// track notes which connections are open.
func (s *server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[c] = true; state == http.StateClosed {
		delete(s.conns, c)
	}
}

// reset closes the listener and resets all connections.
func (s *server) reset() {
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	id := r.Header.Get("X-Request-Id")
	if err != nil || id == "" {
		http.NotFound(w, r)
		return
	}
	seconds, _ := strconv.ParseFloat(r.Header.Get("X-Deadline"), 64)
	arrivals.Lock()
	arrivals.all = append(arrivals.all, arrival{s.UID, id, time.Now(), time.Duration(seconds * 1e9), len(body), difference(id, string(body))})
	arrivals.Unlock()
	if inPieces && r.Method == http.MethodGet {
		s.writeInPieces(w, r, id)
		return
	}
	select {
	case <-time.After(s.work(r)):
		if longViews && r.Method == http.MethodGet {
			writeLong(w, id)
			return
		}
		if spoil && rand.IntN(20) == 0 {
			writeSpoilt(w, id)
			return
		}
		io.WriteString(w, answerOf(id))
	case <-r.Context().Done(): // a cancel drops the work
	}
}

// answerOf is the answer made for a request.
func answerOf(id string) string { return "done " + id + "\n" }

// longViews is set where views have long answers.
var longViews bool

// longAnswer is the long answer made for a request.
func longAnswer(id string) string { return bodyOf(id, 150000) }

// writeLong writes a long answer, 5,000 bytes each 20 ms.
func writeLong(w http.ResponseWriter, id string) {
	text := longAnswer(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	for len(text) > 0 {
		n := min(5000, len(text))
		if _, err := io.WriteString(w, text[:n]); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		text = text[n:]
		time.Sleep(20 * time.Millisecond)
	}
}

// deploy starts a small deployment: servers in two zones, the agent of discovery, and nodes that know the list.
func deploy(nodeCount, serverCount int, classes []class, work func(r *http.Request) time.Duration) (*agent, []*server) {
	var servers []*server
	var targets []target
	for i := range serverCount {
		s := newServer(fmt.Sprintf("s-%08x", 0x5be2a07c+i*7919), []string{"chavara", "karunagappally"}[i%2], i/4, work)
		servers = append(servers, s)
		targets = append(targets, s.target)
		record("server %s at %s", s.UID, s.Endpoint)
	}
	a := newAgent(targets)
	for i := range nodeCount {
		n := newNode(i, nodeCount, a.addr, classes, list{Rev: 41, All: true, Targets: targets})
		nodes = append(nodes, n)
		n.start()
	}
	return a, servers
}
