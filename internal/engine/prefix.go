package engine

import (
	"github.com/cespare/xxhash/v2"
)

// Boundaries at which the prefixes of a prompt are hashed: every PrefixBlock
// bytes of text for the first uniformBlocks, then after blocks that double in
// length.
const (
	PrefixBlock   = 256
	MaxPrefixes   = 44 // covers 8 KiB + 2 MiB
	uniformBlocks = 32
	// separator separates fields; it does not count towards block lengths.
	separator = "\x00"
)

// Prefixes returns the hashes of a prompt's prefixes, shortest first, as
// engines use them in cache events. Each hash includes the model and the
// adapter, because the cached state differs between adapters. fields are the
// fields of the prompt in order: each message's role and content. Text after
// the last boundary is not hashed.
func Prefixes(model, adapter string, fields []string) []uint64 {
	p := prefixHasher{digest: xxhash.New(), blockSize: PrefixBlock, remaining: PrefixBlock}
	p.write(model + separator + adapter + separator)
	for _, f := range fields {
		p.writeField(f)
	}
	return p.hashes
}

// PromptFields returns the fields of a chat prompt for Prefixes.
func PromptFields(messages []Message) []string {
	fields := make([]string, 0, 2*len(messages))
	for _, m := range messages {
		fields = append(fields, m.Role, m.Content)
	}
	return fields
}

// PrefixBytes returns the number of bytes of text that the first n hashes
// cover.
func PrefixBytes(n int) int {
	total, block := 0, PrefixBlock
	for i := range n {
		total += block
		if i+1 >= uniformBlocks {
			block *= 2
		}
	}
	return total
}

type prefixHasher struct {
	digest    *xxhash.Digest
	blockSize int // length of the current block in bytes
	remaining int // bytes left until the next boundary
	hashes    []uint64
}

func (p *prefixHasher) write(s string) { _, _ = p.digest.WriteString(s) } // never fails

func (p *prefixHasher) writeField(s string) {
	if s == "" {
		return
	}
	for len(s) > 0 && len(p.hashes) < MaxPrefixes {
		n := min(len(s), p.remaining)
		p.write(s[:n])
		s = s[n:]
		p.remaining -= n
		if p.remaining == 0 {
			p.addHash()
		}
	}
	p.write(separator)
}

func (p *prefixHasher) addHash() {
	p.hashes = append(p.hashes, p.digest.Sum64())
	if len(p.hashes) >= uniformBlocks {
		p.blockSize *= 2
	}
	p.remaining = p.blockSize
}
