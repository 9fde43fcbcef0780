package testpeer

import (
	"strings"
	"sync"
)

// LogBuffer collects log output for tests that search it. It is safe for concurrent use.
type LogBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *LogBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns everything written so far.
func (l *LogBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Count returns the number of occurrences of text in the output.
func (l *LogBuffer) Count(text string) int { return strings.Count(l.String(), text) }
