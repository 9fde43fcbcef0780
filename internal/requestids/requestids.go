// Package requestids remembers the ids of requests that were forwarded and may have run, so that none is forwarded again when it comes
// again with its id. Its memory is bounded, and two processes of a node can share it. It keeps hashes of ids: an id that was never
// added is found with a probability of some 2^-60.
package requestids

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"os"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Dimensions of a Set.
const (
	sets      = 4096
	ways      = 8 // ids of one set; the oldest gives way
	slotBytes = 16
	fileBytes = sets * ways * slotBytes
)

// Retention is how long an id is remembered at most.
const Retention = 10 * time.Minute

// slot holds one id. Both fields are accessed atomically, by two processes if the Set is shared.
type slot struct {
	hash uint64 // 0: empty
	at   int64  // CLOCK_MONOTONIC in ns, which all processes of a machine share
}

// Set is a bounded set of ids. Its methods are safe for concurrent use.
type Set struct{ slots []slot }

// New returns a Set of this process alone.
func New() *Set { return &Set{make([]slot, sets*ways)} }

// Open returns the Set in a file, which it shares with other processes that have it open, until it ends. The file
// is extended to the size of a Set.
func Open(file *os.File) (*Set, error) {
	if err := file.Truncate(fileBytes); err != nil {
		return nil, fmt.Errorf("requestids: resize %s: %w", file.Name(), err)
	}
	mapped, err := unix.Mmap(int(file.Fd()), 0, fileBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("requestids: map %s: %w", file.Name(), err)
	}
	return &Set{unsafe.Slice((*slot)(unsafe.Pointer(&mapped[0])), sets*ways)}, nil
}

// Add adds an id, or renews its time.
func (s *Set) Add(id string) {
	hash, candidates := s.find(id)
	target := &candidates[0]
	for i := range candidates {
		c := &candidates[i]
		if atomic.LoadUint64(&c.hash) == hash {
			target = c
			break
		}
		if atomic.LoadInt64(&c.at) < atomic.LoadInt64(&target.at) {
			target = c
		}
	}
	atomic.StoreInt64(&target.at, now())
	atomic.StoreUint64(&target.hash, hash)
}

// Remove removes an id: its request never ran.
func (s *Set) Remove(id string) {
	hash, candidates := s.find(id)
	for i := range candidates {
		if atomic.CompareAndSwapUint64(&candidates[i].hash, hash, 0) {
			atomic.StoreInt64(&candidates[i].at, 0)
		}
	}
}

// Contains reports whether an id was added within the retention.
func (s *Set) Contains(id string) bool {
	hash, candidates := s.find(id)
	for i := range candidates {
		c := &candidates[i]
		if atomic.LoadUint64(&c.hash) == hash && now()-atomic.LoadInt64(&c.at) <= int64(Retention) {
			return true
		}
	}
	return false
}

// find returns the hash of an id, which is not 0, and the slots that may hold it.
func (s *Set) find(id string) (hash uint64, candidates []slot) {
	sum := sha256.Sum256([]byte(id))
	hash = binary.LittleEndian.Uint64(sum[:8]) | 1
	first := ways * int(binary.LittleEndian.Uint64(sum[8:16])%sets)
	return hash, s.slots[first : first+ways]
}

// now returns the time since the machine's start in ns.
func now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0
	}
	return t.Nano()
}
