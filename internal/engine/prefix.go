package engine

import (
	"github.com/cespare/xxhash/v2"
)

// Bounds of the prefix hashes of one prompt.
const (
	// PrefixBlock is the length in bytes of the blocks at whose ends a prompt's
	// growing prefixes are hashed.
	PrefixBlock = 256
	// MaxPrefixes bounds the hashes of one prompt; what lies beyond is not
	// told apart.
	MaxPrefixes = 64
	// bytesPerToken is the usual length of a token of English text.
	bytesPerToken = 4
)

// Prefixes returns the hashes of a prompt's growing prefixes, shortest first,
// as engines name them in cache events. The model is part of each hash. The
// last hash covers the whole prompt when it is short enough.
func Prefixes(model string, messages []Message) []uint64 {
	text := promptText(model, messages)
	n := min((len(text)+PrefixBlock-1)/PrefixBlock, MaxPrefixes)
	out := make([]uint64, 0, n)
	d := xxhash.New()
	for i := range n {
		end := min((i+1)*PrefixBlock, len(text))
		_, _ = d.Write(text[i*PrefixBlock : end]) // never fails
		out = append(out, d.Sum64())
	}
	return out
}

// PromptTokens estimates the tokens of a prompt.
func PromptTokens(messages []Message) int {
	n := 0
	for _, m := range messages {
		n += len(m.Role) + len(m.Content)
	}
	return n/bytesPerToken + 1
}

// promptText joins the prompt's parts with a byte that keeps them apart.
func promptText(model string, messages []Message) []byte {
	text := append([]byte(model), 0)
	for _, m := range messages {
		text = append(text, m.Role...)
		text = append(text, 0)
		text = append(text, m.Content...)
		text = append(text, 0)
	}
	return text
}
