package yamlcheck

import "strings"

// maxTypos is the maximum edit distance at which an unknown key is considered a
// misspelling of a known one.
const maxTypos = 2

// nearestKey returns the known key with the smallest edit distance to key, or
// "" if none is within maxTypos.
func nearestKey(key string, known []string) string {
	best, bestDistance := "", maxTypos+1
	for _, k := range known {
		if d := distance(strings.ToLower(key), k); k != "" && d < bestDistance {
			best, bestDistance = k, d
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
