package http1

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"damsontrestle/internal/testpeer"
)

// benchSize is the length of a body or an answer that passes through.
const benchSize = 8 << 20

// BenchmarkLongResponse passes answers of 8 MiB through a node on loopback, one after another.
func BenchmarkLongResponse(b *testing.B) {
	text := randomBytes(benchSize)
	s := testpeer.NewServer(b, func(c net.Conn, r *http.Request, body string) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text))
		_, err := c.Write(text)
		return err == nil
	})
	n := startNode(b, testConfig(testpeer.Whole(testpeer.Entry("s1", s.Address(), "in_service"))), nil)
	c := testpeer.Dial(b, n.Addr())
	b.SetBytes(benchSize)
	b.ReportAllocs()
	for i := range b.N {
		c.Get(fmt.Sprint("r", i))
		r, err := http.ReadResponse(c.Reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		if got, err := io.Copy(io.Discard, r.Body); got != benchSize || err != nil {
			b.Fatal(got, err)
		}
	}
}

// BenchmarkLongBody passes bodies of 8 MiB through a node on loopback, one after another.
func BenchmarkLongBody(b *testing.B) {
	text := randomBytes(benchSize)
	ln := startRawServer(b, func(c net.Conn, r *http.Request) {
		for in := testpeer.On(c); ; {
			if got, err := io.Copy(io.Discard, r.Body); got != benchSize || err != nil || !testpeer.Reply200(c, "") {
				return
			}
			var err error
			if r, err = http.ReadRequest(in.Reader); err != nil {
				return
			}
		}
	})
	n := startNode(b, testConfig(testpeer.Whole(entry("s1", ln))), nil)
	c := testpeer.Dial(b, n.Addr())
	b.SetBytes(benchSize)
	b.ReportAllocs()
	for i := range b.N {
		write, _ := sendUpload(c, fmt.Sprint("u", i), benchSize, false)
		if err := write(text); err != nil {
			b.Fatal(err)
		}
		c.Want(b, 200, "")
	}
}
