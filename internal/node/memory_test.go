package node

import (
	"testing"
	"time"

	"damsontrestle/internal/testpeer"
)

// Both outputs for operators tell what occupies the process's memory, beside its limit.
func TestMemoryIsReported(t *testing.T) {
	n, _ := startNode(t, shortConfig(time.Second, testpeer.FullSnapshot()), nil)
	counters, status := n.Metrics().Memory, n.Status().Memory
	limit := int64(n.Config().Node.Limits.Memory)
	if counters == nil || counters.Limit != limit || counters.Runtime == 0 || counters.Goroutines == 0 {
		t.Errorf("counters: %+v, want a limit of %d and memory in use", counters, limit)
	}
	if status.Limit != limit || status.Anonymous == 0 || status.Objects == 0 {
		t.Errorf("status: %+v, want a limit of %d and memory in use", status, limit)
	}
}
