package load

import (
	"strings"
	"testing"
	"time"
)

// A stream is whole only if it has the end marker, a finish reason, the number of
// tokens reported in its usage, and no more tokens than requested. A stream
// without the end marker is cut even if the connection was closed cleanly.
func TestReadStream(t *testing.T) {
	k := &Request{Type: TypeChat, MaxTokens: 5, Stream: true}
	done := "data: [DONE]\n\n"
	token := "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"
	errorEvent := "event: error\ndata: {\"error\":{\"type\":\"answer_cut\",\"outcome\":\"ran\",\"message\":\"the engine is gone\"}}\n\n"
	for _, c := range []struct{ name, text, outcome, detail string }{
		{"whole", streamText(3, 3), outcomeWhole, ""},
		{"as many tokens as requested", streamText(5, 5), outcomeWhole, ""},
		{"without spaces after the colon", strings.ReplaceAll(streamText(3, 3), "data: ", "data:"), outcomeWhole, ""},
		{"no end marker", strings.TrimSuffix(streamText(3, 3), done), outcomeCut, "without [DONE]"},
		{"empty body", "", outcomeCut, "without [DONE]"},
		{"cut within a line", streamText(3, 3)[:100], outcomeCut, "without [DONE]"},
		{"cut within the end marker", strings.TrimSuffix(streamText(3, 3), "E]\n\n"), outcomeCut, "without [DONE]"},
		{"error event", token + errorEvent, outcomeCut, "answer_cut (ran): the engine is gone"},
		{"error event, then the end marker", token + errorEvent + done, outcomeWrong, "without a finish reason"},
		{"token missing", streamText(2, 3), outcomeWrong, "got 2 tokens, the usage of the stream reports 3"},
		{"duplicate token", token + streamText(3, 3), outcomeWrong, "got 4 tokens, the usage"},
		{"no tokens", streamText(0, 0), outcomeWrong, "0 tokens"},
		{"more tokens than requested", streamText(6, 6), outcomeWrong, "got 6 tokens, want 1 to 5"},
		{"end marker only", done, outcomeWrong, "without a finish reason"},
		{"data after the end marker", streamText(3, 3) + token, outcomeWrong, "after [DONE]"},
		{"token after the finish reason", strings.Replace(streamText(3, 3), done, token+done, 1), outcomeWrong, "after the finish reason"},
		{"no JSON", "data: hello\n\n" + done, outcomeWrong, "not a chat completion chunk"},
	} {
		r := readStream(t.Context(), strings.NewReader(c.text), k, "", time.Now())
		if r.outcome != c.outcome || !strings.Contains(r.detail, c.detail) {
			t.Errorf("%s: %s, %q; want %s, %q", c.name, r.outcome, r.detail, c.outcome, c.detail)
		}
	}
	if r := readStream(t.Context(), strings.NewReader(streamText(3, 3)), k, "another's", time.Now()); r.outcome != outcomeWrong {
		t.Errorf("answer to another request: %s", r.outcome)
	}
}

func TestCheckChat(t *testing.T) {
	good := `{"choices":[{"message":{"content":"x"},"finish_reason":"stop"}],"usage":{"completion_tokens":3}}`
	for _, c := range []struct {
		name, text, outcome string
		stream              bool
	}{
		{"whole", good, outcomeWhole, false},
		{"no stream", good, outcomeWrong, true},
		{"too many tokens", strings.Replace(good, "3", "6", 1), outcomeWrong, false},
		{"no finish reason", strings.Replace(good, `"stop"`, "null", 1), outcomeWrong, false},
		{"no JSON", "hello", outcomeWrong, false},
	} {
		r := result{outcome: outcomeWhole}
		r.checkChat([]byte(c.text), &Request{MaxTokens: 5, Stream: c.stream})
		if r.outcome != c.outcome {
			t.Errorf("%s: %s, %q; want %s", c.name, r.outcome, r.detail, c.outcome)
		}
	}
}
