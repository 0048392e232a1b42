package testkit

import (
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// lockName is the file, among the temporary ones, that test programs lock.
const lockName = "chervilloom-process-tests.lock"

// Exclusively runs the tests of a package whose fleets of processes want the
// machine for themselves, after those of other such packages. The go command
// runs packages side by side: two fleets at once leave each other so little of
// the processors that groups look dead, and a verdict would depend on it.
func Exclusively(run func() int) int {
	f, err := os.OpenFile(filepath.Join(os.TempDir(), lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		panic(err)
	}
	defer f.Close() // which unlocks it
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX); err != nil {
		panic(err)
	}
	return run()
}
