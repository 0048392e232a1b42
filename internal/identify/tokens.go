package identify

import "unicode/utf8"

// Estimates of a token's length, and of what a field of a prompt costs beside
// its text.
const (
	asciiPerToken  = 4.0 // characters
	otherPerToken  = 1.5 // characters of other scripts
	tokensPerField = 2
)

// estimateTokens estimates the tokens of a prompt's fields.
func estimateTokens(fields []string) int {
	ascii, other := 0, 0
	for _, f := range fields {
		n := utf8.RuneCountInString(f)
		a := n
		if n != len(f) {
			a = asciiOf(f)
		}
		ascii += a
		other += n - a
	}
	return int(float64(ascii)/asciiPerToken+float64(other)/otherPerToken) + len(fields)*tokensPerField
}

func asciiOf(s string) int {
	n := 0
	for i := range len(s) {
		if s[i] < utf8.RuneSelf {
			n++
		}
	}
	return n
}
