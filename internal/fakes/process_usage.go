package fakes

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

const kilobytesPerMB = 1024

// Usage returns the resident memory and the number of open descriptors of the process, or 0 for a value that the system does not
// provide.
func (a *Agent) Usage() (memoryMB float64, descriptors int) {
	folder := filepath.Join("/proc", strconv.Itoa(a.command.Process.Pid))
	open, err := os.ReadDir(filepath.Join(folder, "fd"))
	if err != nil {
		open = nil
	}
	return residentMemoryMB(filepath.Join(folder, "status")), len(open)
}

// residentMemoryMB returns the resident memory given in a process's status file, or 0 if it cannot be read.
func residentMemoryMB(path string) float64 {
	status, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	for _, field := range strings.Split(string(status), "\n") {
		size, isResident := strings.CutPrefix(field, "VmRSS:")
		if !isResident {
			continue
		}
		kilobytes := 0.0
		if _, err := fmt.Sscan(size, &kilobytes); err != nil {
			return 0
		}
		return kilobytes / kilobytesPerMB
	}
	return 0
}
