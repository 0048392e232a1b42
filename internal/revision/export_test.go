package revision

import (
	"context"
	"time"
)

// DisableReadBackRetry makes the store stop reading back the outcome of a write
// at the first failure, as if acceptTimeout had expired.
func (s *Store) DisableReadBackRetry() {
	s.sleep = func(context.Context, time.Duration) bool { return false }
}
