package gossip

import (
	"bytes"
	"fmt"
	"io"
	"os"
)

// Size limits of a key, in bytes.
const (
	minKeySize = 16
	maxKeySize = 4 << 10
)

// LoadKey reads the key of a cluster from a file. Leading and trailing white space is not part of the key.
func LoadKey(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("gossip: key file: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxKeySize+1))
	if err != nil {
		return nil, fmt.Errorf("gossip: key file: %w", err)
	}
	key := bytes.TrimSpace(text)
	if len(key) < minKeySize || len(text) > maxKeySize {
		return nil, fmt.Errorf("gossip: key in %s has %d bytes, must have %d to %d", path, len(key), minKeySize, maxKeySize)
	}
	return key, nil
}
