package faultbench

import (
	"os"

	"damsontrestle/internal/faultbench/child"
)

// cost returns the resources that all processes have used so far.
func (f *fleet) cost() (c Cost) {
	c.RigCPU, c.RigMemory = child.ResourceUsage(os.Getpid())
	if entries, err := os.ReadDir("/proc/self/fd"); err == nil {
		c.MostOpenRig = len(entries)
	}
	var memory int64
	for _, n := range f.nodes {
		n.mu.Lock()
		p, before := n.process, n.previousCPU
		n.mu.Unlock()
		if p != nil {
			cpu, resident := child.ResourceUsage(p.Cmd.Process.Pid)
			c.NodesCPU += cpu + before
			memory += resident
			c.Processes++
		}
	}
	if c.Processes > 0 {
		c.NodeMemory = memory / int64(c.Processes)
	}
	return c
}
