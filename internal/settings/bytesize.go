package settings

import (
	"errors"
	"math"
	"strconv"
	"strings"
)

// ByteSize is a size in bytes, written as "4MiB", "512KiB" or "100B".
type ByteSize int64

var byteUnits = []struct {
	suffix string
	bytes  int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// Example returns a size in the format of settings files.
func (ByteSize) Example() string { return "4MiB" }

// errByteSize describes the format of a size.
var errByteSize = errors.New("not a whole number above 0 with the unit B, KiB, MiB or GiB")

// UnmarshalText parses a whole number followed by a unit.
func (s *ByteSize) UnmarshalText(b []byte) error {
	text := string(b)
	for _, u := range byteUnits {
		number, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(number, 10, 64)
		if err != nil || n < 1 || n > math.MaxInt64/u.bytes {
			return errByteSize
		}
		*s = ByteSize(n * u.bytes)
		return nil
	}
	return errByteSize
}
