// Package clientlimit bounds what the clients of a server can make its process hold: connections, request bodies with what
// they are decoded to, and responses that are not read. The limits come from the memory and the descriptors that the
// machine grants the process.
//
// Below the limits no request and no connection is refused or closed. At a limit, the connections and the unfinished
// bodies that have made no progress for longest give way to new ones. A request that gives way before its body has been
// read is answered with 503, and has no effect.
package clientlimit

import (
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// clientMemoryFraction is the share of the memory of a process that its clients may take. The rest is for its own
	// state and for garbage that is not yet collected.
	clientMemoryFraction = 0.4
	// connectionBytes is the memory of a connection without a body: two buffers of net/http, the stack of a goroutine, a
	// header of the largest size, and a request of at most freeBodyBytes.
	connectionBytes = 24 << 10
	// freeBodyBytes is the size up to which a body is covered by connectionBytes. So a small request is never refused for
	// want of memory.
	freeBodyBytes = 4 << 10
	// clientDescriptorFraction is the share of the descriptors that client connections may take. The rest is for the
	// connections to the store, to agents and to other entries.
	clientDescriptorFraction = 0.5
	// minConnections keeps a process reachable whatever its limits say.
	minConnections = 16
)

// Limits bound the clients of a process.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// BodyBytes is the memory for request bodies over freeBodyBytes and for what they are decoded to.
	BodyBytes int64
	// BodyTimeout bounds the time that a body takes to arrive. It holds below the other limits, too.
	BodyTimeout time.Duration
}

// DefaultBodyTimeout is the BodyTimeout of ForProcess.
const DefaultBodyTimeout = 30 * time.Second

// ForProcess returns the limits for a process that may use memory bytes and a number of descriptors. Zero stands for the
// limits that the process finds itself, see Memory and Descriptors.
func ForProcess(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = Memory()
	}
	if own := Descriptors(); descriptors <= 0 || descriptors > own {
		descriptors = own
	}
	share := int64(float64(memory) * clientMemoryFraction)
	connections := min(share/2/connectionBytes, int64(float64(descriptors)*clientDescriptorFraction))
	connections = max(connections, minConnections)
	return Limits{Connections: int(connections), BodyBytes: max(0, share-connections*connectionBytes),
		BodyTimeout: DefaultBodyTimeout}
}

// defaultMemory is assumed if neither GOMEMLIMIT nor the kernel names an amount.
const defaultMemory = 1 << 30

// Memory returns the memory that the process may use, in bytes: GOMEMLIMIT if it is set, else half of the machine's.
func Memory() int64 {
	if limit := debug.SetMemoryLimit(-1); limit != math.MaxInt64 {
		return limit
	}
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return defaultMemory
	}
	for line := range strings.Lines(string(data)) {
		value, ok := strings.CutPrefix(line, "MemTotal:")
		if !ok {
			continue
		}
		if kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64); err == nil {
			return kb << 10 / 2
		}
	}
	return defaultMemory
}

// defaultDescriptors is assumed if the kernel does not name the limit.
const defaultDescriptors = 1024

// Descriptors returns the number of descriptors that the process may open.
func Descriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}
