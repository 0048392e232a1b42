package identify

import "unicode/utf8"

// Estimated length of a token, and estimated tokens per prompt field in
// addition to its text.
const (
	asciiCharsPerToken = 4.0
	otherCharsPerToken = 1.5 // non-ASCII characters
	tokensPerField     = 2
)

// estimateTokens estimates the number of tokens of a prompt's fields.
func estimateTokens(fields []string) int {
	ascii, other := 0, 0
	for _, f := range fields {
		n := utf8.RuneCountInString(f)
		a := n
		if n != len(f) {
			a = countASCII(f)
		}
		ascii += a
		other += n - a
	}
	return int(float64(ascii)/asciiCharsPerToken+float64(other)/otherCharsPerToken) + len(fields)*tokensPerField
}

func countASCII(s string) int {
	n := 0
	for i := range len(s) {
		if s[i] < utf8.RuneSelf {
			n++
		}
	}
	return n
}
