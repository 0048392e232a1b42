package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"go.uber.org/goleak"

	"chervilloom/internal/outcome"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// stepTimeout is the timeout of a step that must finish. It is long enough to be
// independent of the machine's speed.
const stepTimeout = 90 * time.Second

func startFleet(t *testing.T) *Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	f, err := Start(ctx, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
		http.DefaultClient.CloseIdleConnections()
	})
	return f
}

// A caller's session with a node in a zone without engines: a call of each kind,
// a repeated receipt, and each kind of invalid request. The golden file has the
// status, outcome header and body of each response, so that the test detects a
// change in any of them.
func TestCallerSession(t *testing.T) {
	f := startFleet(t)
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	var session strings.Builder
	for _, a := range f.RunSmokeTest(ctx) {
		if a.Err != nil {
			t.Errorf("%s: %v", a.Name, a.Err)
		}
		fmt.Fprintf(&session, "%s: %d %s\n  %s\n", a.Name, a.Status, a.Outcome, a.Text)
	}
	base := "http://" + f.Nodes[len(f.Nodes)-1].Addrs().Caller
	for _, b := range invalidCalls() {
		session.WriteString(b.send(ctx, t, base))
	}
	goldie.New(t).Assert(t, "session", []byte(session.String()))
}

// invalidCall is an invalid request and the expected status.
type invalidCall struct {
	name, method, path, body, key string
	header                        map[string]string
	status                        int
}

func invalidCalls() []invalidCall {
	const chat = "/v1/chat/completions"
	good := `{"model":"clerk","messages":[{"role":"user","content":"hello"}]}`
	return []invalidCall{
		{"no key", "POST", chat, good, "", nil, 401},
		{"operator's token", "POST", chat, good, OperatorToken, nil, 401},
		{"malformed JSON", "POST", chat, `{"model":"clerk",`, CallerKey, nil, 400},
		{"no prompt", "POST", chat, `{"model":"clerk"}`, CallerKey, nil, 400},
		{"unknown model", "POST", chat, strings.Replace(good, "clerk", "nobody", 1), CallerKey, nil, 404},
		{"unknown adapter", "POST", chat, strings.Replace(good, "clerk", "clerk+nobody", 1), CallerKey, nil, 404},
		{"unknown version", "POST", chat, strings.Replace(good, "clerk", "clerk@9", 1), CallerKey, nil, 404},
		{"oversized body", "POST", chat, good + strings.Repeat(" ", 5<<20), CallerKey, nil, 413},
		{"expired deadline", "POST", chat, good, CallerKey, map[string]string{"Chervilloom-Deadline-Ms": "0"}, 504},
		{"unknown service", "GET", "/services/nobody/x", "", CallerKey, nil, 404},
		{"foreign ticket", "POST", "/services/counter/receipts", "{}", CallerKey, map[string]string{"Chervilloom-Ticket": "made up"}, 400},
		{"key with another body", "POST", "/services/counter/receipts", `{"fee":1}`, CallerKey, map[string]string{"Idempotency-Key": "receipt-17"}, 422},
	}
}

func (b invalidCall) send(ctx context.Context, t *testing.T, base string) string {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequestWithContext(ctx, b.method, base+b.path, strings.NewReader(b.body))
	is.NoErr(err)
	if b.key != "" {
		req.Header.Set("Authorization", "Bearer "+b.key)
	}
	for k, v := range b.header {
		req.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.Equal(res.StatusCode, b.status)
	id := res.Header.Get("Chervilloom-Request")
	text := strings.ReplaceAll(strings.TrimSpace(string(body)), id, "REQUEST")
	return fmt.Sprintf("%s: %d %s\n  %s\n", b.name, res.StatusCode, res.Header.Get(outcome.Header), text)
}
