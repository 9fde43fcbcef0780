package link

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// Part is a part of 127.0.0.0/8 that no other rig uses.
type Subnet struct {
	lock   net.Listener
	number int
}

// TakePart takes a part: whoever holds its first address has it.
func AcquireSubnet() (*Subnet, error) {
	for range 100 {
		number := 16 + rand.IntN(200)
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.%d.0.1:7000", number))
		if err == nil {
			return &Subnet{ln, number}, nil
		}
	}
	return nil, errors.New("link: no part of 127.0.0.0/8 is free")
}

// IP is one of the part's.
func (p *Subnet) IP(a, b int) string { return fmt.Sprintf("127.%d.%d.%d", p.number, a, b) }

// Address is one of the part's.
func (p *Subnet) Address(a, b, port int) string { return fmt.Sprintf("%s:%d", p.IP(a, b), port) }

// Close gives the part back.
func (p *Subnet) Close() { p.lock.Close() }
