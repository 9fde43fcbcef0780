package routeexchange

import (
	"testing"

	"go.uber.org/goleak"
)

// Fails if a test leaks a goroutine.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
