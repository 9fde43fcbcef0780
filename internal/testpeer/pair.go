package testpeer

import "net"

// Pair returns the two ends of a TCP connection over loopback: the one that connected, and the one that accepted. Both are
// closed with the test.
func Pair(t TB) (connected, accepted net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	defer listener.Close()
	if connected, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatalf("connect: %v", err)
	}
	t.Cleanup(func() { connected.Close() })
	if accepted, err = listener.Accept(); err != nil {
		t.Fatalf("accept: %v", err)
	}
	t.Cleanup(func() { accepted.Close() })
	return connected, accepted
}
