package kv

import "chervilloom/internal/engine"

// bytesPerToken is the usual length of a token of English text.
const bytesPerToken = 4

// blockTokens returns the tokens of the last block of a prefix of depth blocks.
func blockTokens(depth int) int {
	return (engine.PrefixBytes(depth) - engine.PrefixBytes(depth-1)) / bytesPerToken
}
