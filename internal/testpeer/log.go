package testpeer

import (
	"strings"
	"sync"
)

// LogBuffer keeps what a log writes, for tests that look for lines in it. Any goroutine may use it.
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

// String returns all that was written.
func (l *LogBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Count returns how often a text was written.
func (l *LogBuffer) Count(text string) int { return strings.Count(l.String(), text) }
