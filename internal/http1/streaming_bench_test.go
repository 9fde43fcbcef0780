package http1

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"damsontrestle/internal/testpeer"
)

// benchSize is the length in bytes of a streamed body or response.
const benchSize = 8 << 20

// BenchmarkLongResponse sends responses of 8 MiB through a node on loopback, one after another.
func BenchmarkLongResponse(b *testing.B) {
	text := randomBytes(benchSize)
	server := testpeer.NewServer(b, func(conn net.Conn, r *http.Request, body string) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text))
		_, err := conn.Write(text)
		return err == nil
	})
	node := startNode(b, testConfig(testpeer.FullSnapshot(testpeer.Entry("s1", server.Address(), "in_service"))), nil)
	client := testpeer.Dial(b, node.Addr())
	b.SetBytes(benchSize)
	b.ReportAllocs()
	for i := range b.N {
		client.Get(fmt.Sprint("r", i))
		r, err := http.ReadResponse(client.Reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		if got, err := io.Copy(io.Discard, r.Body); got != benchSize || err != nil {
			b.Fatal(got, err)
		}
	}
}

// BenchmarkLongBody sends request bodies of 8 MiB through a node on loopback, one after another.
func BenchmarkLongBody(b *testing.B) {
	text := randomBytes(benchSize)
	ln := startRawServer(b, func(conn net.Conn, r *http.Request) {
		for in := testpeer.NewClientConn(conn); ; {
			if got, err := io.Copy(io.Discard, r.Body); got != benchSize || err != nil || !testpeer.Reply200(conn, "") {
				return
			}
			var err error
			if r, err = http.ReadRequest(in.Reader); err != nil {
				return
			}
		}
	})
	node := startNode(b, testConfig(testpeer.FullSnapshot(entry("s1", ln))), nil)
	client := testpeer.Dial(b, node.Addr())
	b.SetBytes(benchSize)
	b.ReportAllocs()
	for i := range b.N {
		write, _ := sendUpload(client, fmt.Sprint("u", i), benchSize, false)
		if err := write(text); err != nil {
			b.Fatal(err)
		}
		client.Want(b, 200, "")
	}
}
