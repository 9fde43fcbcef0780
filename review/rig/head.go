package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["head-hang"] = func() { head((*server).hang) }
	cases["head-crash"] = func() { head((*server).crash) }
}

// Steps of a view whose answer comes in pieces: its head when the length is known, its body when the work is done.
const (
	headAfter = 100 * time.Millisecond
	bodyAfter = 200 * time.Millisecond
)

// inPieces is set where the answers of views come in pieces.
var inPieces bool

// heads holds when the head of each answer was written.
var heads sync.Map

// stop is what happens to a server in its work: it hangs, or its process ends.
type stop struct {
	hung    atomic.Bool
	crashed atomic.Bool
}

// hang has the server write nothing more; its connections stay open.
func (s *server) hang() { s.stop.hung.Store(true) }

// crash ends the server as the end of its process would: connections are reset, new ones refused.
func (s *server) crash() {
	s.stop.crashed.Store(true)
	s.reset()
}

// writeInPieces writes the long answer of a view, its head first.
func (s *server) writeInPieces(w http.ResponseWriter, r *http.Request, id string) {
	text := longAnswer(id)
	if !s.pause(r, headAfter) {
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.(http.Flusher).Flush()
	heads.Store(id, time.Now())
	if s.pause(r, bodyAfter) {
		io.WriteString(w, text)
	}
}

// pause waits and reports whether the server still works then. If it hangs, pause waits until the connection ends.
func (s *server) pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
		return false
	}
	if s.stop.hung.Load() {
		<-r.Context().Done()
	}
	return r.Context().Err() == nil
}

// head has one of six servers hang or crash in the middle of its work, while views with long answers are under way.
func head(disrupt func(*server)) {
	const clients, at, length = 80, 3 * time.Second, 6 * time.Second
	inPieces = true
	_, servers := deploy(2, 6, siteClasses(), work)
	begin := time.Now()
	if trouble {
		time.AfterFunc(at, func() {
			record("server %s is disrupted", servers[2].UID)
			disrupt(servers[2])
		})
	}
	var mu sync.Mutex
	var all []*request
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * (headAfter + bodyAfter) / clients) // not all in step
			for time.Since(begin) < length {
				r := newRequest("GET", "view-interval", 0, 2400*time.Millisecond)
				r.want = longAnswer(r.id)
				mu.Lock()
				all = append(all, r)
				mu.Unlock()
				exchange(nodes[i%len(nodes)].addr, patience, r)
			}
		})
	}
	wg.Wait()
	var broken []string
	for _, r := range all {
		text := r.outcome()
		if at, ok := heads.Load(r.id); ok {
			text += fmt.Sprintf("; head of a server's answer written %v after the request", at.(time.Time).Sub(r.taken))
		}
		record("%s", text)
		// An answer that the node has begun to pass on and can't finish has failed and is not lost.
		if b := r.broken(); b != "" && r.begun.IsZero() {
			broken = append(broken, b)
		}
	}
	recordArrivals()
	verdict(broken)
}
