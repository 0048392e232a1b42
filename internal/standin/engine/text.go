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

// ExpectedTokens returns the texts of the tokens that answer a chat request's body;
// joined they are the complete answer. Their texts depend only on the model and the
// messages, so a caller with a unique prompt can distinguish its answer from any other. It
// returns nil for a body that is not a chat request.
func ExpectedTokens(body []byte) []string {
	var req engine.ChatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil
	}
	return answerTokens(&req)
}

func answerTokens(req *engine.ChatRequest) []string {
	n := req.MaxTokens
	if n <= 0 {
		n = DefaultTokens
	}
	seed := promptSeed(req)
	out := make([]string, min(n, MaxTokens))
	for i := range out {
		out[i] = tokenText(seed, i)
	}
	return out
}

// promptSeed returns a hash of the model and all messages.
func promptSeed(req *engine.ChatRequest) uint64 {
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

// tokenText returns the text of token i: syllables selected by a hash, with a
// leading space except for the first token.
func tokenText(seed uint64, i int) string {
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
