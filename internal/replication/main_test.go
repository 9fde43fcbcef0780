package replication

import (
	"testing"

	"go.uber.org/goleak"
)

// Every goroutine is ended by whoever started it.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
