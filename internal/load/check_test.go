package load

import (
	"strings"
	"testing"
	"time"
)

// Streams end in many ways. Only one that has its end marker, a finish reason,
// as many tokens as it announces and as many as were asked for at most is
// whole; an end without the marker is a cut however clean the connection ended.
func TestStreams(t *testing.T) {
	k := &Request{Type: TypeChat, MaxTokens: 5, Stream: true}
	done := "data: [DONE]\n\n"
	token := "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"
	refusal := "event: error\ndata: {\"error\":{\"type\":\"answer_cut\",\"outcome\":\"ran\",\"message\":\"the engine is gone\"}}\n\n"
	for _, c := range []struct{ name, text, outcome, detail string }{
		{"whole", streamText(3, 3), outcomeWhole, ""},
		{"as many as asked for", streamText(5, 5), outcomeWhole, ""},
		{"without spaces after the colon", strings.ReplaceAll(streamText(3, 3), "data: ", "data:"), outcomeWhole, ""},
		{"no end marker", strings.TrimSuffix(streamText(3, 3), done), outcomeCut, "without [DONE]"},
		{"nothing", "", outcomeCut, "without [DONE]"},
		{"cut in a line", streamText(3, 3)[:100], outcomeCut, "without [DONE]"},
		{"cut in the end marker", strings.TrimSuffix(streamText(3, 3), "E]\n\n"), outcomeCut, "without [DONE]"},
		{"told as cut", token + refusal, outcomeCut, "answer_cut (ran): the engine is gone"},
		{"told as cut, marker all the same", token + refusal + done, outcomeWrong, "without a finish reason"},
		{"token missing", streamText(2, 3), outcomeWrong, "2 tokens came where the stream announced 3"},
		{"token doubled", token + streamText(3, 3), outcomeWrong, "4 tokens came"},
		{"no tokens", streamText(0, 0), outcomeWrong, "0 tokens"},
		{"more than asked for", streamText(6, 6), outcomeWrong, "6 tokens where 1 to 5"},
		{"marker only", done, outcomeWrong, "without a finish reason"},
		{"data after the marker", streamText(3, 3) + token, outcomeWrong, "after [DONE]"},
		{"token after the last", strings.Replace(streamText(3, 3), done, token+done, 1), outcomeWrong, "after the last one"},
		{"other text", "data: hello\n\n" + done, outcomeWrong, "not a chat chunk"},
	} {
		r := readStream(t.Context(), strings.NewReader(c.text), k, "", time.Now())
		if r.outcome != c.outcome || !strings.Contains(r.detail, c.detail) {
			t.Errorf("%s: %s, %q; want %s, %q", c.name, r.outcome, r.detail, c.outcome, c.detail)
		}
	}
	if r := readStream(t.Context(), strings.NewReader(streamText(3, 3)), k, "another's", time.Now()); r.outcome != outcomeWrong {
		t.Errorf("another's answer: %s", r.outcome)
	}
}

func TestChatAnswers(t *testing.T) {
	good := `{"choices":[{"message":{"content":"x"},"finish_reason":"stop"}],"usage":{"completion_tokens":3}}`
	for _, c := range []struct {
		name, text, outcome string
		stream              bool
	}{
		{"whole", good, outcomeWhole, false},
		{"a stream was asked for", good, outcomeWrong, true},
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
