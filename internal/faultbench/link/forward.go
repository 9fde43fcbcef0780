package link

import (
	"io"
	"net"
	"sync"
	"time"
)

// Forward opens a relay that forwards connections through the link to the address to, which may be in another process.
func Forward(addr, to string, random *Random) (*Relay, error) {
	return Listen(addr, random, func(c *Conn) {
		target, err := net.DialTimeout("tcp4", to, time.Second)
		if err != nil {
			c.Reset()
			return
		}
		defer target.Close()
		var copies sync.WaitGroup
		copies.Add(2)
		go func() { // from the near side to the target
			defer copies.Done()
			if _, err := io.Copy(target, c); err != nil {
				target.(*net.TCPConn).SetLinger(0)
			}
			target.Close()
		}()
		go func() {
			defer copies.Done()
			if _, err := io.Copy(c, target); err != nil {
				c.Reset()
				return
			}
			c.Close()
		}()
		copies.Wait()
	})
}
