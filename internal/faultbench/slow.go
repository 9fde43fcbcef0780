package faultbench

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"damsontrestle/internal/faultbench/audit"
	"damsontrestle/internal/faultbench/experiment"
	"damsontrestle/internal/faultbench/link"
)

// Bounds of slow transfers.
const (
	slowInterval    = 40 * time.Millisecond               // between two parts
	maxSlowReply    = 120 << 10                           // bytes
	maxReplyBytes   = 2 * (longReplyBytes + maxSlowReply) // more than any reply of a server
	maxSlowTransfer = 2500 * time.Millisecond             // of a reply
	maxUpload       = 3 << 20                             // bytes
	smallBuffer     = 32 << 10                            // bytes of a socket's buffer
	slowReadTimeout = 15 * time.Second                    // of a client for a response that has begun
	minInProgress   = 150 * time.Millisecond              // for which a reply has been sent before it counts as in progress at the node
)

// framing is how a reply marks the end of its body.
type framing int

const (
	framedByLength framing = iota
	framedByChunks
	framedByClose
	framings
)

// slowReply is a reply that a server sends in parts, at a rate.
type slowReply struct {
	rate    int64 // bytes per second
	size    int   // of the body, without what identifies the request
	framing framing
}

// drawSlowReply draws a reply at a rate that takes maxSlowTransfer at most.
func drawSlowReply(random *link.Random, rate int64) *slowReply {
	longest := min(maxSlowReply, int(rate*int64(maxSlowTransfer)/int64(time.Second)))
	return &slowReply{rate: rate, size: random.Below(longest), framing: framing(random.Below(int(framings)))}
}

// head returns the head of the reply.
func (r *slowReply) head(headers string, length int) string {
	switch r.framing {
	case framedByLength:
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", headers, length)
	case framedByChunks:
		return "HTTP/1.1 200 OK\r\n" + headers + "Transfer-Encoding: chunked\r\n\r\n"
	}
	return "HTTP/1.1 200 OK\r\n" + headers + "Connection: close\r\n\r\n"
}

// frame returns a part of the body as it is sent.
func (r *slowReply) frame(part string) string {
	if r.framing != framedByChunks {
		return part
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
}

// lastFrame returns the last part of the body as it is sent, with the end of the reply.
func (r *slowReply) lastFrame(part string) string {
	if r.framing != framedByChunks {
		return part
	}
	return r.frame(part) + "0\r\n\r\n"
}

// sendSlowly sends a reply at its rate, and reports whether the connection can be reused. If the node closes the connection meanwhile, that
// is recorded as a cut.
func (h *host) sendSlowly(conn *link.Conn, attempt *audit.Attempt, reply *slowReply, headers, body string) bool {
	f := h.fleet
	f.audit.RecordSlow(attempt)
	body = strings.Repeat("p", reply.size) + " " + body
	begin := f.now()
	conn.Send([]byte(reply.head(headers, len(body))), nil)
	size := max(1, int(reply.rate*int64(slowInterval)/int64(time.Second)))
	for len(body) > 0 {
		part := body[:min(size, len(body))]
		body = body[len(part):]
		if len(body) == 0 {
			conn.Send([]byte(reply.lastFrame(part)), nil)
			break // the node may close the connection from here on
		}
		conn.Send([]byte(reply.frame(part)), nil)
		select {
		case <-conn.CloseDelivered():
			f.recordCut(conn, attempt, begin)
			return false
		case <-time.After(slowInterval):
		}
	}
	f.audit.RecordEnd(attempt, f.now(), "served slowly")
	return reply.framing != framedByClose
}

// recordCut records that a node closed the connection of a reply in progress, unless a fault of the link explains it.
func (f *fleet) recordCut(conn *link.Conn, attempt *audit.Attempt, begin time.Duration) {
	at := f.runTime(conn.NearClosedAt())
	f.audit.RecordEnd(attempt, at, "closed by the node within a reply")
	if at-begin > minInProgress && !conn.Broken() && !f.experiment.LinksCut(begin, at) {
		f.audit.RecordCut(attempt, at)
	}
}

// readSlowly reads a request's body at a rate.
func readSlowly(body io.Reader, rate int64) error {
	size := max(1, rate*int64(slowInterval)/int64(time.Second))
	for {
		_, err := io.CopyN(io.Discard, body, size)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		time.Sleep(slowInterval)
	}
}

// drawReadRate returns the rate at which a server reads the next request; 0: at once.
func (h *host) drawReadRate() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, ft := range h.spoiling {
		if ft.Kind == experiment.SlowReads && h.fleet.random.Occurs(ft.Share) {
			return ft.Bandwidth
		}
	}
	return 0
}

// slowClient is a client that sends and reads at a rate, with small buffers.
type slowClient struct {
	rate   int64 // bytes per second; 0: as fast as it can
	upload int   // bytes of its body
}

// setSlowClients sets the fault that makes a share of the node's clients slow; nil: none.
func (n *node) setSlowClients(ft *experiment.Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slowClients = ft
}

// drawSlowClient draws whether the client of the next request is slow.
func (n *node) drawSlowClient() *slowClient {
	n.mu.Lock()
	ft := n.slowClients
	n.mu.Unlock()
	random := n.fleet.random
	if ft == nil || !random.Occurs(ft.Share) {
		return nil
	}
	client := &slowClient{rate: ft.Bandwidth, upload: maxUpload >> random.Below(8)}
	if random.Occurs(0.5) {
		client.rate = 0
	}
	if client.rate > 0 {
		client.upload = min(client.upload, int(client.rate*int64(maxSlowTransfer)/int64(time.Second)))
	}
	return client
}

// prepare gives the client's connection small buffers.
func (c *slowClient) prepare(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetReadBuffer(smallBuffer)
		tcp.SetWriteBuffer(smallBuffer)
	}
}

// write writes a body.
func (c *slowClient) write(w io.Writer, body string) error {
	if c == nil || c.rate == 0 {
		_, err := io.WriteString(w, body)
		return err
	}
	size := max(1, int(c.rate*int64(slowInterval)/int64(time.Second)))
	for len(body) > 0 {
		part := body[:min(size, len(body))]
		body = body[len(part):]
		if _, err := io.WriteString(w, part); err != nil {
			return err
		}
		time.Sleep(slowInterval)
	}
	return nil
}

// reader returns a reader at the client's rate.
func (c *slowClient) reader(r io.Reader) io.Reader {
	if c == nil || c.rate == 0 {
		return r
	}
	return &pacedReader{reader: r, size: max(1, int(c.rate*int64(slowInterval)/int64(time.Second)))}
}

// pacedReader reads a part in each interval.
type pacedReader struct {
	reader io.Reader
	size   int
}

// Read implements io.Reader.
func (r *pacedReader) Read(p []byte) (int, error) {
	time.Sleep(slowInterval)
	return r.reader.Read(p[:min(len(p), r.size)])
}
