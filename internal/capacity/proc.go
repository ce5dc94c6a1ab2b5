package capacity

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// ticksPerSecond is the unit of the times in /proc/PID/stat (USER_HZ), which Linux fixes at 100.
	ticksPerSecond = 100
	// userTimeField and systemTimeField count from the field after the command name in /proc/PID/stat.
	userTimeField   = 11
	systemTimeField = 12
)

var errProc = errors.New("capacity: unexpected content under /proc")

// processorTime returns the user and system time that a process has used.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The command name is in parentheses and may hold blanks.
	end := bytes.LastIndexByte(data, ')')
	if end < 0 {
		return 0, errProc
	}
	fields := strings.Fields(string(data[end+1:]))
	if len(fields) <= systemTimeField {
		return 0, errProc
	}
	var ticks int64
	for _, f := range []string{fields[userTimeField], fields[systemTimeField]} {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, errors.Join(errProc, err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// memoryStall returns how long the whole machine has stood still for lack of memory since it started. Where the kernel
// does not tell, it is zero.
func memoryStall() time.Duration {
	data, err := os.ReadFile("/proc/pressure/memory")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if _, total, ok := strings.Cut(line, "total="); ok && strings.HasPrefix(line, "full") {
			us, err := strconv.ParseInt(strings.TrimSpace(total), 10, 64)
			if err == nil {
				return time.Duration(us) * time.Microsecond
			}
		}
	}
	return 0
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			if err != nil {
				return 0, errors.Join(errProc, err)
			}
			return kb << 10, nil
		}
	}
	return 0, errProc
}
