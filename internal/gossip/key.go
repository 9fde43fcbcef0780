package gossip

import (
	"bytes"
	"fmt"
	"io"
	"os"
)

// Bounds of a key's file.
const (
	minKeySize = 16
	maxKeySize = 4 << 10
)

// LoadKey reads a cluster's key: what the file holds without white space round it.
func LoadKey(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("gossip: the key: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxKeySize+1))
	if err != nil {
		return nil, fmt.Errorf("gossip: the key: %w", err)
	}
	key := bytes.TrimSpace(text)
	if len(key) < minKeySize || len(text) > maxKeySize {
		return nil, fmt.Errorf("gossip: the key in %s has %d bytes; allowed: %d to %d", path, len(key), minKeySize, maxKeySize)
	}
	return key, nil
}
