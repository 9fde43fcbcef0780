package testpeer

import "net"

// Pair returns both ends of a TCP connection over loopback. They are closed when the test ends.
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
