package testkit

import (
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// lockFileName is the name of the lock file in the directory for temporary files.
const lockFileName = "chervilloom-process-tests.lock"

// RunExclusively calls run while holding a machine-wide file lock, and returns its exit
// code. Packages whose tests start a fleet of processes call it from TestMain: the
// go command runs packages in parallel, and two fleets at once leave each other so
// little processor time that groups appear dead and tests fail.
func RunExclusively(run func() int) int {
	f, err := os.OpenFile(filepath.Join(os.TempDir(), lockFileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		panic(err)
	}
	defer f.Close() // releases the lock
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX); err != nil {
		panic(err)
	}
	return run()
}
