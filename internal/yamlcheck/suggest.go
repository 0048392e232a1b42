package yamlcheck

import "strings"

// maxTypos is the number of changed letters up to which a key is taken for a
// mistyped one.
const maxTypos = 2

// nearest returns the known key that was probably meant, empty when none is near.
func nearest(key string, known []string) string {
	best, least := "", maxTypos+1
	for _, k := range known {
		if d := distance(strings.ToLower(key), k); k != "" && d < least {
			best, least = k, d
		}
	}
	return best
}

// distance returns the Levenshtein distance of a and b in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			diagonal, row[j+1] = row[j+1], min(diagonal+cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
