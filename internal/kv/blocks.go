package kv

import "chervilloom/internal/engine"

// bytesPerToken is the typical length of a token of English text in bytes.
const bytesPerToken = 4

// blockTokens returns the estimated number of tokens in the last block of a prefix of
// depth blocks.
func blockTokens(depth int) int {
	return (engine.PrefixBytes(depth) - engine.PrefixBytes(depth-1)) / bytesPerToken
}
