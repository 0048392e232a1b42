package engine

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"chervilloom/internal/engine"
)

// Bounds of an answer's length in tokens.
const (
	DefaultTokens = 16
	MaxTokens     = 65536
)

var syllables = [...]string{
	"ba", "cho", "du", "fe", "gi", "ha", "jo", "ka",
	"li", "mu", "ne", "pa", "ro", "su", "ti", "ve",
}

// ExpectedTokens returns the tokens of the answer to a chat request's body: the
// text of each in order; joined they are the whole answer. They depend on the
// model and the messages alone, so that a caller whose prompt is unique can tell
// its own answer from any other. It returns nil for a body that is no request.
func ExpectedTokens(body []byte) []string {
	var req engine.ChatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil
	}
	return tokensOf(&req)
}

func tokensOf(req *engine.ChatRequest) []string {
	n := req.MaxTokens
	if n <= 0 {
		n = DefaultTokens
	}
	seed := seedOf(req)
	out := make([]string, min(n, MaxTokens))
	for i := range out {
		out[i] = word(seed, i)
	}
	return out
}

// seedOf hashes the whole prompt.
func seedOf(req *engine.ChatRequest) uint64 {
	d := xxhash.New()
	add := func(s string) {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	add(req.Model)
	for _, m := range req.Messages {
		add(m.Role)
		add(m.Content)
	}
	return d.Sum64()
}

// word returns token i: syllables made of a hash, and a space before all but
// the first.
func word(seed uint64, i int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	h := xxhash.Sum64(b[:])
	var w []byte
	if i > 0 {
		w = append(w, ' ')
	}
	for range 4 {
		w = append(w, syllables[h%uint64(len(syllables))]...)
		h /= uint64(len(syllables))
	}
	return string(w)
}
