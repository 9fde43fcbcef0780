package gateway

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a test leaks a goroutine.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
