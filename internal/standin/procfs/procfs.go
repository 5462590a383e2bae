// Package procfs reads from the proc file system of Linux what the kernel knows of a process.
package procfs

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"

	"github.com/zeebo/errs"
)

const zombie = "Z" // state of a process that has ended and whose status was not fetched yet

// Error is the class of errors of this package.
var Error = errs.Class("procfs")

// Handles reports whether the process pid ignores s or has a handler for it. Any other process takes the default action of s, which
// may end it. Handles returns an error if there is no such process, or if it has ended.
func Handles(pid int, s syscall.Signal) (bool, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false, Error.Wrap(err)
	}

	var handled uint64

	masks := 0

	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)

		if name == "State" && strings.HasPrefix(value, zombie) {
			return false, Error.New("process %d has ended", pid)
		}

		if name != "SigIgn" && name != "SigCgt" {
			continue
		}

		mask, err := strconv.ParseUint(value, 16, 64)
		if err != nil {
			return false, Error.Wrap(err)
		}

		handled |= mask
		masks++
	}

	if masks != 2 {
		return false, Error.New("/proc/%d/status has no SigIgn or no SigCgt", pid)
	}

	return handled&(1<<(s-1)) != 0, nil
}
