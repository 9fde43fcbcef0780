package config

import (
	"fmt"
	"io"
	"os"
	"time"
)

// Retries of a failed read while a configuration runs: the file may be about to be replaced by another, or the process may be out
// of descriptors for a moment.
const (
	readRetryTimeout  = 2 * time.Second
	readRetryInterval = 20 * time.Millisecond
)

// opener opens a file for reading.
type opener func(path string) (io.ReadCloser, error)

func openFile(path string) (io.ReadCloser, error) { return os.Open(path) }

// read reads up to maxBytes bytes of a file.
func (open opener) read(path string, maxBytes int64) ([]byte, error) {
	f, err := open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxBytes))
	if err != nil {
		return nil, err
	}
	return text, nil
}

// readWithRetry reads a file like read, and retries a failed read until readRetryTimeout has passed.
func (open opener) readWithRetry(path string, maxBytes int64) ([]byte, error) {
	start := time.Now()
	for {
		text, err := open.read(path, maxBytes)
		if err == nil {
			return text, nil
		}
		if time.Since(start) >= readRetryTimeout {
			return nil, fmt.Errorf("retried for %v: %w", readRetryTimeout, err)
		}
		time.Sleep(readRetryInterval)
	}
}
