package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

func init() { cases["endless-heads"] = func() { badDay(450, endlessHead) } }

// endlessHead is a bad client that sends 18 KB of a head that doesn't end, in short fields, and reads what it is sent. Without the trouble it
// sends nothing.
func endlessHead(addr string, until time.Time) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(until)
	if trouble {
		var head strings.Builder
		head.WriteString("GET /view-interval/1 HTTP/1.1\r\nHost: backend.local\r\n")
		for i := 0; head.Len() < 18000; i++ {
			fmt.Fprintf(&head, "%x:\r\n", i)
		}
		io.WriteString(c, head.String())
	}
	io.Copy(io.Discard, c)
}
