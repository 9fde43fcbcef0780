package link

import (
	"io"
	"net"
	"sync"
	"time"
)

// Forward opens a relay whose far side is an address of another process: connections go on there, through the link.
func Forward(addr, to string, dice *Random) (*Relay, error) {
	return Listen(addr, dice, func(c *Conn) {
		far, err := net.DialTimeout("tcp4", to, time.Second)
		if err != nil {
			c.Reset()
			return
		}
		defer far.Close()
		var both sync.WaitGroup
		both.Add(2)
		go func() { // from the near side on
			defer both.Done()
			if _, err := io.Copy(far, c); err != nil {
				far.(*net.TCPConn).SetLinger(0)
			}
			far.Close()
		}()
		go func() {
			defer both.Done()
			if _, err := io.Copy(c, far); err != nil {
				c.Reset()
				return
			}
			c.Close()
		}()
		both.Wait()
	})
}
