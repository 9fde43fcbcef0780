package link

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// Subnet is a /16 subnet of 127.0.0.0/8 that no other fault bench uses.
type Subnet struct {
	lock   net.Listener
	number int
}

// AcquireSubnet reserves a subnet by listening at port 7000 of its first address.
func AcquireSubnet() (*Subnet, error) {
	for range 100 {
		number := 16 + rand.IntN(200)
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.%d.0.1:7000", number))
		if err == nil {
			return &Subnet{ln, number}, nil
		}
	}
	return nil, errors.New("link: no free subnet of 127.0.0.0/8 found in 100 tries")
}

// IP returns an address of the subnet by its last two bytes.
func (p *Subnet) IP(third, fourth int) string {
	return fmt.Sprintf("127.%d.%d.%d", p.number, third, fourth)
}

// Address returns an address of the subnet with a port.
func (p *Subnet) Address(third, fourth, port int) string {
	return fmt.Sprintf("%s:%d", p.IP(third, fourth), port)
}

// Close releases the subnet.
func (p *Subnet) Close() { p.lock.Close() }
