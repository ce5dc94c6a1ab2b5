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
	// ticksPerSecond is the resolution of the times in /proc/PID/stat (USER_HZ), which Linux fixes at 100.
	ticksPerSecond = 100
	// userTimeField and systemTimeField are indexes of fields in /proc/PID/stat, from the one after the command name.
	userTimeField   = 11
	systemTimeField = 12
)

var errProcFormat = errors.New("capacity: unexpected content under /proc")

// processCPUTime returns the user and system time that a process has used since it started.
func processCPUTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The command name is in parentheses and may contain spaces.
	end := bytes.LastIndexByte(data, ')')
	if end < 0 {
		return 0, errProcFormat
	}
	fields := strings.Fields(string(data[end+1:]))
	if len(fields) <= systemTimeField {
		return 0, errProcFormat
	}
	var ticks int64
	for _, f := range []string{fields[userTimeField], fields[systemTimeField]} {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, errors.Join(errProcFormat, err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// memoryStall returns the time since boot in which all runnable tasks of the machine were stalled on memory, as the
// kernel's pressure stall information reports it. It is zero where the kernel does not report it.
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

// residentBytes returns the resident set size of a process.
func residentBytes(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			if err != nil {
				return 0, errors.Join(errProcFormat, err)
			}
			return kib << 10, nil
		}
	}
	return 0, errProcFormat
}
