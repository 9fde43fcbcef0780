package main

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// answerSlack is how much later than its client's time an answer may come: 50 ms that each time limit is longer on sockets, and half
// a second in which it only earns nothing.
const answerSlack = 550 * time.Millisecond

// fleet is a small deployment: four servers in two zones, discovery and one node.
type fleet struct {
	servers   []*server
	discovery *agent
	node      *node
}

// startFleet starts a fleet whose servers reply in the same way.
func (w *world) startFleet(reply func(*server, net.Conn, *http.Request) bool, o nodeOptions) (*fleet, error) {
	f := &fleet{}
	var targets []target
	for i, zone := range []string{"chavara", "chavara", "karunagappally", "karunagappally"} {
		s, err := w.startServer(fmt.Sprintf("box-%d", i+1), reply)
		if err != nil {
			return nil, err
		}
		f.servers = append(f.servers, s)
		targets = append(targets, listed(s, zone))
	}
	var err error
	if f.discovery, err = w.startAgent(targets...); err != nil {
		return nil, err
	}
	o.name, o.discovery = "n0", f.discovery.address()
	f.node, err = w.startNode(o)
	return f, err
}

// requestID returns the id of the request with a number.
func requestID(number int) string { return fmt.Sprintf("%016x", 0x5b1f03aa5c7e0000+number) }

// final is the final answer to a request as its client saw it.
type final struct {
	id, kind string
	body     string
	after    time.Duration // from the request's last byte to the answer's
	err      error         // there was no whole answer
}

// awaitFinal reads the answer to a request whose last byte was written at a time.
func (w *world) awaitFinal(c *clientConn, id string, sent time.Time, patience time.Duration) final {
	status, body, err := c.readResponse(sent.Add(patience))
	f := final{id: id, kind: kindOf(status), body: body, after: time.Since(sent), err: err}
	if err != nil {
		w.logf("client: %s has no whole answer %.3f s after its last byte: %v", id, f.after.Seconds(), err)
	} else {
		w.logf("client: %s %s (%d) %.3f s after its last byte", id, f.kind, status, f.after.Seconds())
	}
	return f
}

// sendAlone sends a request on a connection of its own, and reads its answer.
func (w *world) sendAlone(address, id, text string, patience time.Duration) final {
	c, err := dial(address)
	if err != nil {
		return final{id: id, err: err}
	}
	defer c.Close()
	if err := c.write(text); err != nil {
		return final{id: id, err: err}
	}
	return w.awaitFinal(c, id, time.Now(), patience)
}

// unreadByNode returns how many bytes of a client's connection wait in the kernel of the node's machine for the node to read them, or -1
// if that can't be told.
func unreadByNode(c net.Conn) int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return -1
	}
	defer file.Close()
	local, remote := hexAddress(c.RemoteAddr()), hexAddress(c.LocalAddr())
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		f := strings.Fields(lines.Text())
		if len(f) < 5 || f[1] != local || f[2] != remote {
			continue
		}
		_, received, _ := strings.Cut(f[4], ":")
		if n, err := strconv.ParseInt(received, 16, 64); err == nil {
			return n
		}
	}
	return -1
}

// hexAddress returns an address as /proc/net/tcp writes it.
func hexAddress(a net.Addr) string {
	address := a.(*net.TCPAddr)
	var word [4]byte
	ip := address.IP.To4()
	binary.BigEndian.PutUint32(word[:], binary.NativeEndian.Uint32(ip))
	return strings.ToUpper(hex.EncodeToString(word[:])) + fmt.Sprintf(":%04X", address.Port)
}
