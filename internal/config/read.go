package config

import (
	"fmt"
	"io"
	"os"
	"time"
)

// How long a file that can't be read is tried again where a configuration runs: another file may be taking its name, or the process be
// out of descriptors for a moment.
const (
	readRetryTimeout  = 2 * time.Second
	readRetryInterval = 20 * time.Millisecond
)

// opener opens a file for reading.
type opener func(path string) (io.ReadCloser, error)

func openFile(path string) (io.ReadCloser, error) { return os.Open(path) }

// read reads the bytes of a file, up to a number.
func (open opener) read(path string, most int64) ([]byte, error) {
	f, err := open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, most))
	if err != nil {
		return nil, err
	}
	return text, nil
}

// readWithRetry reads a file as read does, and tries again for a while if that fails.
func (open opener) readWithRetry(path string, most int64) ([]byte, error) {
	begin := time.Now()
	for {
		text, err := open.read(path, most)
		if err == nil {
			return text, nil
		}
		if time.Since(begin) >= readRetryTimeout {
			return nil, fmt.Errorf("for %v: %w", readRetryTimeout, err)
		}
		time.Sleep(readRetryInterval)
	}
}
