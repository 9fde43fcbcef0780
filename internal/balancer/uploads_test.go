package balancer

import (
	"fmt"
	"testing"
	"time"
)

// startUpload sends a request with an incomplete body and returns its Send.
func startUpload(t *testing.T, b *Balancer, now time.Duration, id, class string) Send {
	t.Helper()
	s := sends(b.Handle(now, Request{ID: id, Class: class, Deadline: now + 1500*msec, Partial: true}))
	if len(s) != 1 {
		t.Fatalf("%s at %v: %d sends, want 1", id, now, len(s))
	}
	return s[0]
}

// Uploads in progress are no work for a server: they take no capacity of the window, and other requests are sent as
// if the uploads did not exist. From their last byte on they count like any other request.
func TestUploadCountsAsInFlightFromLastByte(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(4)})
	capacity := 0
	for i := 0; len(sends(b.Handle(msec, Request{ID: fmt.Sprint("r", i), Class: "get", Deadline: 1500 * msec}))) > 0; i++ {
		capacity++
	}
	b = newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(4)})
	for i := range 10 * capacity {
		startUpload(t, b, msec, fmt.Sprint("u", i), "pay")
	}
	for i := range capacity {
		if len(sends(b.Handle(2*msec, Request{ID: fmt.Sprint("r", i), Class: "get", Deadline: 1500 * msec}))) != 1 {
			t.Fatalf("request %d of %d is not sent during uploads", i, capacity)
		}
	}
	if b.inFlight != capacity {
		t.Errorf("%d in flight, want %d", b.inFlight, capacity)
	}
	b.Handle(time.Minute, Uploaded{ID: "u0", Deadline: time.Minute + 1500*msec})
	b.Handle(time.Minute, Uploaded{ID: "u0", Deadline: time.Hour})
	if b.inFlight != capacity+1 {
		t.Errorf("%d in flight after Uploaded was delivered twice, want %d", b.inFlight, capacity+1)
	}
}

// However long an upload takes, its time starts with its last byte: an attempt that fails soon after that may be
// retried, and a server that replies soon after it is neither slow nor unresponsive.
func TestUploadDeadlineStartsAtLastByte(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(4)})
	first := startUpload(t, b, 0, "u", "pay")
	now := time.Minute
	b.Handle(now, Uploaded{ID: "u", Deadline: now + 1500*msec})
	again := sends(b.Handle(now+10*msec, Outcome{ID: "u", Server: first.Server, Result: Overloaded}))
	if len(again) != 1 || again[0].Server == first.Server || again[0].Timeout < 400*msec {
		t.Fatalf("retry after %+v, which never ran: %+v", first, again)
	}
	for i := range 200 {
		now += 100 * msec
		id := fmt.Sprint("u", i)
		s := startUpload(t, b, now, id, "pay")
		now += 10 * time.Second
		b.Handle(now, Uploaded{ID: id, Deadline: now + 1500*msec})
		now += 20 * msec
		b.Handle(now, Outcome{ID: id, Server: s.Server, Result: Success, Ended: true})
	}
	if n := b.Unavailable(); n != 0 {
		t.Errorf("%d servers are unavailable although all replied in time", n)
	}
	if mean := time.Duration(b.classes["pay"].meanLatency); mean > 40*msec {
		t.Errorf("replies took 20ms, but the mean latency is %v", mean)
	}
}

// A request of which a part is no longer buffered is not sent again: it is rejected if no server got it completely,
// and fails if one may have run it. A complete one is retried at another server.
func TestNonReplayableRequestIsNotRetried(t *testing.T) {
	for _, c := range []struct {
		name     string
		class    string
		uploaded bool
		end      Outcome
		want     string
	}{
		{"no connection", "pay", false, Outcome{Result: Unreachable}, "send"},
		{"connection broken during the upload", "pay", false, Outcome{Result: Unreachable, NotReplayable: true}, "reject"},
		{"rejected after the upload", "pay", true, Outcome{Result: Overloaded, NotReplayable: true}, "reject"},
		{"connection broken after the upload", "pay", true, Outcome{Result: ConnectionLost, NotReplayable: true}, "fail"},
		{"connection broken after the upload, safe", "get", true, Outcome{Result: ConnectionLost, NotReplayable: true}, "reject"},
		{"served", "pay", true, Outcome{Result: Success, NotReplayable: true, Ended: true}, ""},
	} {
		b := newBalancer(t, nil)
		b.Handle(0, ServerList{Full: true, Servers: servers(4)})
		s := startUpload(t, b, 0, "u", c.class)
		if c.uploaded {
			b.Handle(time.Second, Uploaded{ID: "u", Deadline: 2500 * msec})
		}
		c.end.ID, c.end.Server = "u", s.Server
		if !c.uploaded {
			c.end.UploadTime = time.Second + msec
		}
		got := ""
		for _, a := range b.Handle(time.Second+msec, c.end) {
			switch a.(type) {
			case Send:
				got += "send"
			case Reject:
				got += "reject"
			case Fail:
				got += "fail"
			}
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// Clients that disconnect during uploads must not make a server an outlier and must leave no state.
func TestAbandonedUploadsEjectNoServer(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(4)})
	for i := range 100 {
		now := time.Duration(i+1) * 10 * time.Second
		id := fmt.Sprint("u", i)
		s := startUpload(t, b, now, id, "pay")
		b.Handle(now+5*time.Second, ClientDisconnected{ID: id})
		b.Handle(now+5*time.Second, Outcome{ID: id, Server: s.Server, Result: Cancelled, Ended: true, NotReplayable: true})
	}
	if b.Unavailable() != 0 || b.inFlight != 0 || len(b.requests) != 0 {
		t.Errorf("%d servers unavailable, %d in flight, %d requests; want none", b.Unavailable(), b.inFlight, len(b.requests))
	}
}

// Servers in slow start get one own request at a time, uploads included: slow uploads to one server could all
// complete at the same time. After the request has ended, or its client has disconnected, the server may get the next
// one.
func TestUploadsDoNotOverloadServerInSlowStart(t *testing.T) {
	b := newBalancer(t, nil)
	now := time.Hour
	inSlowStart := servers(1)
	inSlowStart[0].Boot = now
	b.Handle(now, ServerList{Full: true, Servers: inSlowStart})
	first := startUpload(t, b, now+msec, "first", "pay")
	for i := range 50 {
		e := Request{ID: fmt.Sprint("u", i), Class: "pay", Deadline: now + 1500*msec, Partial: i%2 == 0}
		if s := sends(b.Handle(now+2*msec, e)); len(s) > 0 {
			t.Fatalf("request %d is sent to a server in slow start during an upload to it", i)
		}
	}
	if s := b.servers[first.Server]; s.uploading != 1 || s.inFlight != 0 {
		t.Errorf("%d uploading and %d in flight, want 1 and 0", s.uploading, s.inFlight)
	}
	b.Handle(now+3*msec, ClientDisconnected{ID: "first"})
	b.Handle(now+3*msec, Outcome{ID: "first", Server: first.Server, Result: Cancelled, Ended: true, NotReplayable: true})
	total := 0
	for _, s := range b.servers {
		total += s.inFlight + s.uploading
	}
	if total != 1 {
		t.Errorf("%d requests uploading or in flight once the server was free, want 1", total)
	}
}

// Outliers count as unavailable up to the share of the list that may be excluded, and draining servers in addition.
func TestUnavailableCountsServersWithoutNewRequests(t *testing.T) {
	b := newBalancer(t, nil)
	list := servers(20)
	list[19].State = Draining
	b.Handle(0, ServerList{Full: true, Servers: list})
	if n := b.Unavailable(); n != 1 {
		t.Errorf("%d servers unavailable of a healthy list, want only the draining one", n)
	}
	for _, s := range b.servers {
		s.ejectedUntil = time.Hour
	}
	if n, most := b.Unavailable(), b.maxEjected(); most != 3 || n != 1+most {
		t.Errorf("%d servers unavailable with all of them outliers, want 1 and %d", n, most)
	}
}
