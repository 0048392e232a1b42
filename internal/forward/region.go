package forward

import "slices"

// isAllowedRegion reports whether endpoints of a region may run a request that is subject to all
// of the restrictions. An empty restriction allows every region.
func isAllowedRegion(region string, restrictions ...[]string) bool {
	for _, allowed := range restrictions {
		if len(allowed) > 0 && !slices.Contains(allowed, region) {
			return false
		}
	}
	return true
}
